package statement

import (
	"strings"
	"unicode"
)

// splitLines splits text into lines, and each line into fields and a comment. It accepts any text.
func splitLines(text string) []Line {
	if text == "" {
		return nil
	}
	text = strings.TrimSuffix(strings.ReplaceAll(text, "\r\n", "\n"), "\n")
	raw := strings.Split(text, "\n")
	lines := make([]Line, len(raw))
	for i, s := range raw {
		lines[i] = splitLine(i+1, s)
	}
	return lines
}

func splitLine(number int, s string) Line {
	line := Line{Number: number}
	if cut := strings.IndexByte(s, '#'); cut >= 0 {
		line.Comment = strings.TrimSpace(s[cut+1:])
		s = s[:cut]
	}
	line.Fields = splitFields(s)
	if len(line.Fields) > 0 {
		line.Keyword = Keyword(line.Fields[0].Text)
	}
	return line
}

func splitFields(s string) []Field {
	var fields []Field
	start := -1
	column := 0
	startColumn := 0
	for i, r := range s {
		column++
		switch {
		case unicode.IsSpace(r) && start >= 0:
			fields = append(fields, Field{Text: s[start:i], Column: startColumn})
			start = -1
		case !unicode.IsSpace(r) && start < 0:
			start = i
			startColumn = column
		}
	}
	if start >= 0 {
		fields = append(fields, Field{Text: s[start:], Column: startColumn})
	}
	return fields
}
