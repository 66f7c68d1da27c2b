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

// form is the shape of one rule: the expected fields after the keyword and the check of each.
type form struct {
	usage  string
	checks []fieldCheck
	// key gives the fields that may appear only once together; rules with equal keys contradict or repeat.
	key func(l Line) string
}

type fieldCheck func(text string) string

var forms = map[Keyword]form{
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

// keyOf identifies a rule by its kind and its first n fields.
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
	if fault := checkName(name); fault != "" {
		return fault
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
	if cut := strings.IndexByte(text, '*'); cut >= 0 && cut != len(text)-1 {
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
