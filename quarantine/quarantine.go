// Package quarantine finds requests that crash the endpoints which run them.
//
// # Usage
//
//	f := quarantine.Request{Method: "GET", Host: "shop.example", URI: "/a"}.Fingerprint()
package quarantine
