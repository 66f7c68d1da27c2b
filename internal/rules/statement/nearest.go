package statement

import "strings"

// maxEdits is the largest edit distance at which a word counts as a misspelling.
const maxEdits = 3

// Nearest returns the known word closest to word, ignoring case, or "" when none is close.
func Nearest(word string, known []string) string {
	best, bestEdits := "", maxEdits+1
	for _, k := range known {
		edits := editDistance(strings.ToLower(word), strings.ToLower(k))
		if edits < bestEdits && edits < len(k) {
			best, bestEdits = k, edits
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal = row[j+1]
			row[j+1] = next
		}
	}
	return row[len(b)]
}
