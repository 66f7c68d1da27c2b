package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/oriolehub/oriolehub/internal/process/journal"
)

// LoadEntry loads and checks the settings of an entry process. The error is of type Faults if the file could be read.
func LoadEntry(file string) (Entry, error) {
	return load(file, DefaultEntry(), checkEntry)
}

// LoadSide loads and checks the settings of a side process. The error is of type Faults if the file could be read.
func LoadSide(file string) (Side, error) {
	return load(file, DefaultSide(), checkSide)
}

func load[T any](file string, out T, check func(*decoder, *T)) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return out, fmt.Errorf("read settings: %w", err)
	}
	return parse(file, data, out, check)
}

// ParseEntry decodes and checks the settings of an entry process; file is the file name for Faults.
func ParseEntry(file string, data []byte) (Entry, error) {
	return parse(file, data, DefaultEntry(), checkEntry)
}

// ParseSide decodes and checks the settings of a side process; file is the file name for Faults.
func ParseSide(file string, data []byte) (Side, error) {
	return parse(file, data, DefaultSide(), checkSide)
}

// parse decodes data into out, which holds the defaults, and checks the result. Faults are sorted by line.
func parse[T any](file string, data []byte, out T, check func(*decoder, *T)) (T, error) {
	d := &decoder{file: file, lines: map[string]int{}}
	d.decode(data, &out)
	check(d, &out)
	if len(d.faults) > 0 {
		slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
		return out, d.faults
	}
	return out, nil
}

// hasFault reports whether key already has a fault, so that each key gets at most one.
func (d *decoder) hasFault(key string) bool {
	return slices.ContainsFunc(d.faults, func(f Fault) bool { return f.Key == key })
}

// require adds a fault for key unless ok is true or key already has one.
func (d *decoder) require(ok bool, key, format string, args ...any) {
	if ok || d.hasFault(key) {
		return
	}
	d.addFault(d.lines[key], key, format, args...)
}

func checkEntry(d *decoder, e *Entry) {
	checkCommon(d, &e.Common)
	checkAddress(d, "Listen", e.Listen)
	checkURL(d, "Store.Url", e.Store.Url, true)
	checkURL(d, "VmList.Url", e.VmList.Url, false)
	checkURLs(d, "Weights.Urls", e.Weights.Urls)
	r := &e.Requests
	d.require(r.MaxBody > 0, "Requests.MaxBody", "must be greater than 0B")
	d.require(r.Buffer >= 4*r.MaxBody, "Requests.Buffer", "must be at least 4 times MaxBody (%s)", r.MaxBody)
	d.require(r.MaxQueued >= 0, "Requests.MaxQueued", "must be 0 or greater")
	d.require(r.MaxConnections > 0, "Requests.MaxConnections", "must be 1 or greater")
	requirePositive(d, "Requests.HeaderTimeout", r.HeaderTimeout)
	requirePositive(d, "Requests.BodyTimeout", r.BodyTimeout)
	requirePositive(d, "Requests.IdleTimeout", r.IdleTimeout)
	requirePositive(d, "Requests.StopTimeout", r.StopTimeout)
	d.require(r.QueueWait >= 0, "Requests.QueueWait", "must be 0s or greater")
}

func checkSide(d *decoder, s *Side) {
	checkCommon(d, &s.Common)
	d.require(s.Group != "", "Group", "missing or empty; set it to the group of the upstream")
	checkLoopback(d, "ContentListen", s.ContentListen)
	u := &s.Upstream
	checkURL(d, "Upstream.Url", u.Url, true)
	d.require(u.Kind == "Engine" || u.Kind == "Service", "Upstream.Kind", "%q: must be Engine or Service", u.Kind)
	d.require(u.MaxConcurrent > 0, "Upstream.MaxConcurrent", "must be 1 or greater")
	d.require(u.StartConcurrent > 0 && u.StartConcurrent <= u.MaxConcurrent, "Upstream.StartConcurrent", "must be between 1 and MaxConcurrent (%d)", u.MaxConcurrent)
	d.require(u.SlowStartRequests > 0, "Upstream.SlowStartRequests", "must be 1 or greater")
	d.require(s.Weights.MemoryLimit > 0, "Weights.MemoryLimit", "must be greater than 0B")
	requirePositive(d, "StopTimeout", s.StopTimeout)
	checkURLs(d, "Weights.Urls", s.Weights.Urls)
	if u.Kind == "Engine" {
		d.require(len(s.Weights.Urls) > 0, "Weights.Urls", "missing or empty; set it to the URLs of the weight store and the origin")
	}
}

func checkCommon(d *decoder, c *Common) {
	d.require(c.Id != "", "Id", "missing or empty; set it to an ID that is unique in the deployment")
	d.require(c.Domain != "", "Domain", "missing or empty; set it to the failure domain of this VM")
	d.require(c.Region != "", "Region", "missing or empty; set it to the region of this VM")
	checkAddress(d, "ControlListen", c.ControlListen)
	checkAddress(d, "AdminListen", c.AdminListen)
	for i, p := range c.Peers {
		checkAddress(d, fmt.Sprintf("Peers[%d]", i), p)
	}
	requirePositive(d, "ExchangeInterval", c.ExchangeInterval)
	checkListeners(d, &c.Listeners)
	checkLog(d, &c.Log)
	checkTLS(d, &c.Tls)
}

func checkLog(d *decoder, l *Log) {
	d.require(slices.Contains(journal.Levels(), l.Level), "Log.Level", "%q: must be one of %s", l.Level, strings.Join(journal.Levels(), ", "))
	d.require(l.Format == journal.FormatJson || l.Format == journal.FormatConsole, "Log.Format", "%q: must be %s or %s", l.Format, journal.FormatJson, journal.FormatConsole)
}

func checkTLS(d *decoder, t *Tls) {
	d.require(t.Mode == "mutual" || t.Mode == "off", "Tls.Mode", "%q: must be mutual or off", t.Mode)
	if t.Mode != "mutual" {
		return
	}
	requireFile(d, "Tls.AuthorityFile", t.AuthorityFile)
	requireFile(d, "Tls.CertificateFile", t.CertificateFile)
	requireFile(d, "Tls.KeyFile", t.KeyFile)
}

func requirePositive(d *decoder, key string, v Duration) {
	d.require(v > 0, key, "must be greater than 0s")
}

func requireFile(d *decoder, key, file string) {
	d.require(file != "", key, "missing or empty; set it to the path of a PEM file because Tls.Mode is mutual")
}

// checkAddress requires an IP address and a port. Host names are not accepted because they are never resolved.
func checkAddress(d *decoder, key, address string) {
	host, port, err := net.SplitHostPort(address)
	valid := err == nil && net.ParseIP(host) != nil && port != ""
	d.require(valid, key, "%q: must be an IP address and a port, e.g. 10.0.0.4:7400", address)
}

func checkLoopback(d *decoder, key, address string) {
	checkAddress(d, key, address)
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	d.require(ip != nil && ip.IsLoopback(), key, "%q: must be a loopback address, e.g. 127.0.0.1:0", address)
}

func checkURL(d *decoder, key, text string, required bool) {
	if text == "" && !required {
		return
	}
	u, err := url.Parse(text)
	valid := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	d.require(valid, key, "%q: must be an http or https URL, e.g. http://10.0.0.5:2400", text)
}

func checkURLs(d *decoder, key string, urls []string) {
	for i, u := range urls {
		checkURL(d, fmt.Sprintf("%s[%d]", key, i), u, true)
	}
}
