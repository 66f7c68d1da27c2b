package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// The names and the messages of the platform's protocol stand in data files.
//
//go:embed *.json
var files embed.FS

var names = readNames()

func readNames() map[string]string {
	data, err := files.ReadFile("names.json")
	if err != nil {
		panic(err)
	}
	out := map[string]string{}
	if err := json.Unmarshal(data, &out); err != nil {
		panic(err)
	}
	return out
}

// name returns a header field or a path of the platform's protocol.
func name(key string) string {
	v, ok := names[key]
	if !ok {
		panic("no name " + key)
	}
	return v
}

var templates = template.Must(template.ParseFS(files, "config.json", "entry.json", "report.json"))

// message returns the message in a data file, filled in from data.
func message(file string, data any) []byte {
	var b bytes.Buffer
	if err := templates.ExecuteTemplate(&b, file, data); err != nil {
		panic(err)
	}
	return bytes.TrimSpace(b.Bytes())
}
