package main

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/oriolehub/oriolehub/internal/soak/cluster"
)

// stoppingMessage is the message of the first line of a planned stop in the log of a process.
const stoppingMessage = "stopping"

// noticed returns the time from the signal of a stop until its process noticed it, by its log, or -1. On a busy machine it shows
// that the process had no processor.
func (s *stops) noticed(process string, stop cluster.Stopped) time.Duration {
	file, err := os.Open(filepath.Join(s.folder, process+".log"))
	if err != nil {
		return -1
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line struct {
			Time    time.Time
			Message string
		}
		// Times in the log have milliseconds.
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Message != stoppingMessage || line.Time.Before(stop.Signalled.Truncate(time.Millisecond)) {
			continue
		}
		return line.Time.Sub(stop.Signalled)
	}
	return -1
}
