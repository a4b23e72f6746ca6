package inventory

// Human-readable differences between inventories.

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Diff returns one line for each row that differs, first the removed ones, then the
// added and changed ones, both sorted by kind and id: "- endpoint x",
// "+ endpoint x: slots 3, ...", "~ endpoint x: slots 3 -> 4". A nil inventory has
// no rows.
func Diff(before, after *Inventory) []string {
	oldRows, newRows := rowsOf(before), rowsOf(after)
	var lines []string
	for _, r := range oldRows {
		if _, ok := find(newRows, r); !ok {
			lines = append(lines, "- "+r.name)
		}
	}
	for _, r := range newRows {
		old, ok := find(oldRows, r)
		if !ok {
			lines = append(lines, "+ "+r.name+r.describe())
			continue
		}
		if changes := old.changes(r); len(changes) > 0 {
			lines = append(lines, "~ "+r.name+": "+strings.Join(changes, ", "))
		}
	}
	return lines
}

// DiffConfigurations is Diff for configurations.
func DiffConfigurations(before, after Configuration) []string {
	return Diff(
		&Inventory{Limits: before.Limits, Services: before.Services, Routes: before.Routes, Organisations: before.Organisations},
		&Inventory{Limits: after.Limits, Services: after.Services, Routes: after.Routes, Organisations: after.Organisations})
}

// row is one declared table with its fields as text.
type row struct {
	name    string // kind and id
	keys    []string
	values  []string
	secrets []string // keys of an organisation, of which only the number is shown
}

// describe returns the fields as ": key value, ...", or "" if there are none.
func (r row) describe() string {
	var parts []string
	for i, k := range r.keys {
		parts = append(parts, k+" "+r.values[i])
	}
	if r.secrets != nil {
		parts = append(parts, "keys "+describeKeys(r.secrets))
	}
	if len(parts) == 0 {
		return ""
	}
	return ": " + strings.Join(parts, ", ")
}

// changes returns "key old -> new" for each field that differs in next.
func (r row) changes(next row) []string {
	var changes []string
	for i, k := range r.keys {
		if r.values[i] != next.values[i] {
			changes = append(changes, fmt.Sprintf("%s %s -> %s", k, r.values[i], next.values[i]))
		}
	}
	if !slices.Equal(r.secrets, next.secrets) {
		changes = append(changes, "keys "+describeKeyChange(r.secrets, next.secrets))
	}
	return changes
}

// find returns the row with the name of r. rows must be sorted by name.
func find(rows []row, r row) (row, bool) {
	i, ok := slices.BinarySearchFunc(rows, r, compareRows)
	if !ok {
		return row{}, false
	}
	return rows[i], true
}

func compareRows(a, b row) int { return strings.Compare(a.name, b.name) }

// rowsOf returns the rows of all tables, sorted by name.
func rowsOf(inv *Inventory) []row {
	if inv == nil {
		return nil
	}
	var rows []row
	tables := reflect.ValueOf(*inv)
	for i := range tables.NumField() {
		kind, ok := tables.Type().Field(i).Tag.Lookup("toml")
		if !ok {
			continue
		}
		if tables.Field(i).Kind() != reflect.Slice {
			rows = append(rows, rowOf(kind, tables.Field(i)))
			continue
		}
		for j := range tables.Field(i).Len() {
			rows = append(rows, rowOf(kind, tables.Field(i).Index(j)))
		}
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

// rowOf returns the row of one table. A table without an id is named by its text
// fields, which refer to other tables.
func rowOf(kind string, table reflect.Value) row {
	if d, ok := table.Interface().(Drain); ok {
		return row{name: kind + " " + d.String()}
	}
	r := row{name: kind}
	hasNoID := !table.FieldByName("ID").IsValid()
	for i := range table.NumField() {
		key := table.Type().Field(i).Tag.Get("toml")
		value := textOf(table.Field(i))
		isReference := hasNoID && kind != "rules" && table.Field(i).Kind() == reflect.String
		switch {
		case key == "-": // not declared in a file
		case kind == "organisation" && key == "keys":
			r.secrets, _ = table.Field(i).Interface().([]string)
		case key == "id" || isReference:
			r.name += " " + value
		default:
			r.keys = append(r.keys, key)
			r.values = append(r.values, value)
		}
	}
	return r
}

// textOf returns a field as text, or "none" if it is an omitted pointer.
func textOf(field reflect.Value) string {
	if field.Kind() != reflect.Pointer {
		return fmt.Sprint(field.Interface())
	}
	if field.IsNil() {
		return "none"
	}
	return fmt.Sprint(field.Elem().Interface())
}
