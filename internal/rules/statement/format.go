package statement

import (
	"strings"
	"unicode/utf8"
)

// Format aligns the fields and comments of text in columns. It keeps all comments and blank lines.
func Format(text string) string {
	lines := splitLines(text)
	widths := fieldWidths(lines)
	comment := commentColumn(lines, widths)
	var b strings.Builder
	for _, line := range lines {
		b.WriteString(formatLine(line, widths, comment))
		b.WriteByte('\n')
	}
	return b.String()
}

// fieldWidths returns the maximum width, in runes, of each field over all lines.
func fieldWidths(lines []Line) []int {
	var widths []int
	for _, line := range lines {
		for i, f := range line.Fields {
			if i == len(widths) {
				widths = append(widths, 0)
			}
			widths[i] = max(widths[i], utf8.RuneCountInString(f.Text))
		}
	}
	return widths
}

// commentColumn returns the maximum length, in runes, of the aligned fields of a line.
func commentColumn(lines []Line, widths []int) int {
	column := 0
	for _, line := range lines {
		column = max(column, utf8.RuneCountInString(formatFields(line, widths)))
	}
	return column
}

func formatLine(line Line, widths []int, comment int) string {
	fields := formatFields(line, widths)
	switch {
	case line.Comment == "":
		return fields
	case fields == "":
		return "# " + line.Comment
	default:
		return pad(fields, comment) + "  # " + line.Comment
	}
}

func formatFields(line Line, widths []int) string {
	words := make([]string, len(line.Fields))
	for i, f := range line.Fields {
		words[i] = pad(f.Text, widths[i])
	}
	return strings.TrimRight(strings.Join(words, " "), " ")
}

func pad(s string, width int) string {
	return s + strings.Repeat(" ", max(0, width-utf8.RuneCountInString(s)))
}
