package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

//go:embed *.json *.tmpl
var files embed.FS

// wire holds the names of the platform's protocol that the stand-ins use, by the names of wire.json.
var wire = func() map[string]string {
	data, err := files.ReadFile("wire.json")
	if err != nil {
		panic(err)
	}
	names := map[string]string{}
	if err := json.Unmarshal(data, &names); err != nil {
		panic(err)
	}
	return names
}()

// name returns a name of the platform's protocol.
func name(key string) string {
	if wire[key] == "" {
		panic("no name for " + key)
	}
	return wire[key]
}

var templates = template.Must(template.ParseFS(files, "*.tmpl"))

// fill returns a template filled with values.
func fill(file string, values any) []byte {
	var out bytes.Buffer
	if err := templates.ExecuteTemplate(&out, file, values); err != nil {
		panic(err)
	}
	return bytes.TrimSpace(out.Bytes())
}
