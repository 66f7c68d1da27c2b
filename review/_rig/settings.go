package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// pair is an entry of a table or a list in the fields of a template.
type pair struct{ key, value string }

var (
	section     = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}(.*?)\{\{/(\w+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills a template of settings in, as far as the templates in deploy/ use the platform's placeholders.
func fill(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(found string) string {
		m := section.FindStringSubmatch(found)
		rows := fields[m[1]].([]pair)
		var out strings.Builder
		for i, row := range rows {
			comma := ","
			if i == len(rows)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{@}}", row.key, "{{.}}", row.value, "{{,}}", comma).Replace(m[2]))
		}
		return out.String()
	})
	return placeholder.ReplaceAllStringFunc(text, func(found string) string {
		key := strings.Trim(found, "{}")
		v, ok := fields[key]
		if !ok {
			panic("the template uses a field that the stand-in does not know: " + key)
		}
		return fmt.Sprint(v)
	})
}

// runCommand returns the words of the command of a role in the deploy file.
func runCommand(file, role string) ([]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	in := false
	for line := range strings.SplitSeq(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			in = line == "[roles."+role+"]"
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok && in {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("no command of role %q in %s", role, file)
}
