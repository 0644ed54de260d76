package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// wireFiles hold the names, objects and settings of the platform, in the form of its pages.
//
//go:embed wire.json config.tmpl server.tmpl settings.tmpl
var wireFiles embed.FS

var templates = template.Must(template.ParseFS(wireFiles, "*.tmpl"))

// wire holds the names of wire.json.
var wire = func() (names struct{ After, Holder, Fence string }) {
	encoded, err := wireFiles.ReadFile("wire.json")
	if err == nil {
		err = json.Unmarshal(encoded, &names)
	}
	if err != nil {
		panic(err)
	}
	return names
}()

// render fills in a template. It panics if the template is invalid.
func render(name string, data any) []byte {
	var b bytes.Buffer
	if err := templates.ExecuteTemplate(&b, name, data); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// specOf returns the spec of an object of the store.
func specOf(name string, data any) json.RawMessage {
	encoded := render(name, data)
	if !json.Valid(encoded) {
		panic(name + " is not valid JSON: " + string(encoded))
	}
	return encoded
}

// vmSettings is the data of settings.tmpl.
type vmSettings struct{ Name, IP, Zone, Store, Cloud, Seeds string }

// serverSpec is the data of server.tmpl.
type serverSpec struct {
	Group, Address, Zone, State, Role string
	Slots, Seq                        int
	Born                              int64
}

// configSpec is the data of config.tmpl.
type configSpec struct {
	Version  int
	Routes   []route
	Services []service
	Tenants  []tenant
}

// route, service and tenant are parts of the operator's configuration.
type (
	route   struct{ Database, Kind, Service string }
	service struct {
		Name                   string
		MaxConns, SyncReplicas int
	}
	tenant struct{ Name, Key string }
)
