package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// messages holds the objects and settings that the platform's pages describe.
//
//go:embed *.tmpl wire.json
var messages embed.FS

var templates = template.Must(template.ParseFS(messages, "*.tmpl"))

// wire has the names of the platform's headers and of the prefix of a statement.
var wire = func() (w struct{ After, Holder, Token string }) {
	b, err := messages.ReadFile("wire.json")
	if err == nil {
		err = json.Unmarshal(b, &w)
	}
	if err != nil {
		panic(err)
	}
	return w
}()

// message fills in a template. Its result is JSON.
func message(name string, values any) json.RawMessage {
	var b bytes.Buffer
	if err := templates.ExecuteTemplate(&b, name, values); err != nil {
		panic(err)
	}
	if !json.Valid(b.Bytes()) {
		panic(name + " gives invalid JSON: " + b.String())
	}
	return b.Bytes()
}
