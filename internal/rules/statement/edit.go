package statement

import "strings"

// Add returns text with line appended as the last rule.
func Add(text, line string) string {
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return text + line + "\n"
}

// Remove returns text without the rules that have the given keyword and the given name as the first field after it.
func Remove(text string, keyword Keyword, name string) string {
	var b strings.Builder
	raw := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for i, s := range raw {
		line := splitLine(i+1, s)
		if line.Keyword == keyword && len(line.Fields) > 1 && line.Fields[1].Text == name {
			continue
		}
		b.WriteString(s + "\n")
	}
	return b.String()
}
