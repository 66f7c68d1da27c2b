package statement

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

const (
	defaultShare        = 1
	maxShare            = 1000
	defaultFloorPercent = 50
	maxFloorPercent     = 100
	maxNameLength       = 128
)

// ruleSyntax is the syntax of one kind of rule.
type ruleSyntax struct {
	// usage is the syntax as shown in error messages.
	usage string
	// checks validate the fields after the keyword, one for each expected field.
	checks []fieldCheck
	// key returns the identity of a rule; rules with equal keys are duplicates or contradict each other.
	key func(l Line) string
}

// fieldCheck validates a field and returns an error message, or "" if the field is valid.
type fieldCheck func(text string) string

var syntaxes = map[Keyword]ruleSyntax{
	Domain:     {"Domain NAME REGION", []fieldCheck{checkName, checkName}, keyOf(Domain, 1)},
	Group:      {"Group NAME Engine|Service", []fieldCheck{checkName, checkKind}, keyOf(Group, 1)},
	Serve:      {"Serve GROUP VERSION", []fieldCheck{checkName, checkVersion}, keyOf(Serve, 1)},
	Out:        {"Out DOMAIN", []fieldCheck{checkName}, keyOf(Out, 1)},
	In:         {"In DOMAIN", []fieldCheck{checkName}, keyOf(Out, 1)},
	Idempotent: {"Idempotent GROUP METHOD PATH", []fieldCheck{checkName, checkMethod, checkPath}, keyOf(Idempotent, 3)},
	Fenced:     {"Fenced GROUP", []fieldCheck{checkName}, keyOf(Fenced, 1)},
	Share:      {"Share ACCOUNT NUMBER", []fieldCheck{checkName, checkNumber(1, maxShare)}, keyOf(Share, 1)},
	Floor:      {"Floor GROUP PERCENT", []fieldCheck{checkName, checkNumber(0, maxFloorPercent)}, keyOf(Floor, 1)},
	Pause:      {"Pause GROUP", []fieldCheck{checkName}, keyOf(Pause, 1)},
}

// keyOf returns a function that builds the key of a rule from the keyword k and the first n fields after it.
func keyOf(k Keyword, n int) func(Line) string {
	return func(l Line) string {
		parts := []string{string(k)}
		for _, f := range l.Fields[1 : n+1] {
			parts = append(parts, f.Text)
		}
		return strings.Join(parts, " ")
	}
}

func checkName(text string) string {
	if len(text) > maxNameLength {
		return fmt.Sprintf("name is longer than %d bytes", maxNameLength)
	}
	for _, r := range text {
		if !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("-_.", r) {
			return fmt.Sprintf("name %q: want letters, digits, '-', '_' or '.'", text)
		}
	}
	return ""
}

func checkVersion(text string) string {
	name, tag, ok := strings.Cut(text, "@")
	if !ok || name == "" || tag == "" || strings.Contains(tag, "@") {
		return fmt.Sprintf("version %q: want NAME@TAG, e.g. scaler-7b@2026-12-03", text)
	}
	if message := checkName(name); message != "" {
		return message
	}
	return checkName(tag)
}

func checkKind(text string) string {
	if text == string(KindEngine) || text == string(KindService) {
		return ""
	}
	return fmt.Sprintf("kind %q: want Engine or Service", text)
}

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func checkMethod(text string) string {
	if slices.Contains(knownMethods, text) {
		return ""
	}
	return fmt.Sprintf("method %q: want one of %s", text, strings.Join(knownMethods, ", "))
}

func checkPath(text string) string {
	if !strings.HasPrefix(text, "/") {
		return fmt.Sprintf("path %q: want a path that starts with '/'", text)
	}
	if star := strings.IndexByte(text, '*'); star >= 0 && star != len(text)-1 {
		return fmt.Sprintf("path %q: '*' may stand only at the end", text)
	}
	return ""
}

func checkNumber(low, high int) fieldCheck {
	return func(text string) string {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return fmt.Sprintf("number %q: want %d to %d", text, low, high)
		}
		return ""
	}
}
