package statement

import "strings"

// maxEditDistance is the maximum edit distance at which a word is treated as a misspelling of a known word.
const maxEditDistance = 3

// Nearest returns the known word with the smallest edit distance to word, ignoring case.
// It returns "" if no known word is within maxEditDistance.
func Nearest(word string, known []string) string {
	best, bestDistance := "", maxEditDistance+1
	for _, k := range known {
		distance := editDistance(strings.ToLower(word), strings.ToLower(k))
		if distance < bestDistance && distance < len(k) {
			best, bestDistance = k, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b, in bytes.
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
