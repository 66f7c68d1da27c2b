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

// LoadEntry reads and checks the settings of an entry process; the error is Faults for a file that was read.
func LoadEntry(file string) (Entry, error) {
	return load(file, DefaultEntry(), checkEntry)
}

// LoadSide reads and checks the settings of a side process; the error is Faults for a file that was read.
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

// ParseEntry checks the text of settings of an entry process.
func ParseEntry(file string, data []byte) (Entry, error) {
	return parse(file, data, DefaultEntry(), checkEntry)
}

// ParseSide checks the text of settings of a side process.
func ParseSide(file string, data []byte) (Side, error) {
	return parse(file, data, DefaultSide(), checkSide)
}

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

// faulted reports whether a key has a fault already, so that it is not reported twice.
func (d *decoder) faulted(key string) bool {
	return slices.ContainsFunc(d.faults, func(f Fault) bool { return f.Key == key })
}

// want records a fault for key unless the condition holds.
func (d *decoder) want(good bool, key, format string, args ...any) {
	if good || d.faulted(key) {
		return
	}
	d.fault(d.lines[key], key, format, args...)
}

func checkEntry(d *decoder, e *Entry) {
	checkCommon(d, &e.Common)
	checkAddress(d, "Listen", e.Listen)
	checkURL(d, "Store.Url", e.Store.Url, true)
	checkURL(d, "VmList.Url", e.VmList.Url, false)
	checkURLs(d, "Weights.Urls", e.Weights.Urls)
	r := &e.Requests
	d.want(r.MaxBody > 0, "Requests.MaxBody", "want more than 0B")
	d.want(r.MaxQueued >= 0, "Requests.MaxQueued", "want 0 or more")
	d.want(r.MaxConnections > 0, "Requests.MaxConnections", "want 1 or more")
	wantPositive(d, "Requests.HeaderTimeout", r.HeaderTimeout)
	wantPositive(d, "Requests.BodyTimeout", r.BodyTimeout)
	wantPositive(d, "Requests.IdleTimeout", r.IdleTimeout)
	wantPositive(d, "Requests.StopTimeout", r.StopTimeout)
	d.want(r.QueueWait >= 0, "Requests.QueueWait", "want 0s or more")
}

func checkSide(d *decoder, s *Side) {
	checkCommon(d, &s.Common)
	d.want(s.Group != "", "Group", "missing: want the group that the upstream belongs to")
	checkLoopback(d, "ContentListen", s.ContentListen)
	u := &s.Upstream
	checkURL(d, "Upstream.Url", u.Url, true)
	d.want(u.Kind == "Engine" || u.Kind == "Service", "Upstream.Kind", "%q: want Engine or Service", u.Kind)
	d.want(u.MaxConcurrent > 0, "Upstream.MaxConcurrent", "want 1 or more")
	d.want(u.StartConcurrent > 0 && u.StartConcurrent <= u.MaxConcurrent, "Upstream.StartConcurrent", "want 1 to MaxConcurrent (%d)", u.MaxConcurrent)
	d.want(u.SlowStartRequests > 0, "Upstream.SlowStartRequests", "want 1 or more")
	d.want(s.Weights.MemoryLimit > 0, "Weights.MemoryLimit", "want more than 0B")
	wantPositive(d, "StopTimeout", s.StopTimeout)
	checkURLs(d, "Weights.Urls", s.Weights.Urls)
	if u.Kind == "Engine" {
		d.want(len(s.Weights.Urls) > 0, "Weights.Urls", "missing: want the weight store and the origin")
	}
}

func checkCommon(d *decoder, c *Common) {
	d.want(c.Id != "", "Id", "missing: want a name that no other process has")
	d.want(c.Domain != "", "Domain", "missing: want the failure domain of this VM")
	d.want(c.Region != "", "Region", "missing: want the region of this VM")
	checkAddress(d, "ControlListen", c.ControlListen)
	checkAddress(d, "AdminListen", c.AdminListen)
	for i, p := range c.Peers {
		checkAddress(d, fmt.Sprintf("Peers[%d]", i), p)
	}
	wantPositive(d, "ExchangeInterval", c.ExchangeInterval)
	checkLog(d, &c.Log)
	checkTLS(d, &c.Tls)
}

func checkLog(d *decoder, l *Log) {
	d.want(slices.Contains(journal.Levels(), l.Level), "Log.Level", "%q: want %s", l.Level, strings.Join(journal.Levels(), ", "))
	d.want(l.Format == journal.FormatJson || l.Format == journal.FormatConsole, "Log.Format", "%q: want %s or %s", l.Format, journal.FormatJson, journal.FormatConsole)
}

func checkTLS(d *decoder, t *Tls) {
	d.want(t.Mode == "mutual" || t.Mode == "off", "Tls.Mode", "%q: want mutual or off", t.Mode)
	if t.Mode != "mutual" {
		return
	}
	wantFile(d, "Tls.AuthorityFile", t.AuthorityFile)
	wantFile(d, "Tls.CertificateFile", t.CertificateFile)
	wantFile(d, "Tls.KeyFile", t.KeyFile)
}

func wantPositive(d *decoder, key string, v Duration) {
	d.want(v > 0, key, "want more than 0s")
}

func wantFile(d *decoder, key, file string) {
	d.want(file != "", key, "missing: want a PEM file, since Tls.Mode is mutual")
}

// checkAddress wants an IP address and a port; names are not looked up.
func checkAddress(d *decoder, key, address string) {
	host, port, err := net.SplitHostPort(address)
	good := err == nil && net.ParseIP(host) != nil && port != ""
	d.want(good, key, "%q: want an IP address and a port, e.g. 10.0.0.4:7400", address)
}

func checkLoopback(d *decoder, key, address string) {
	checkAddress(d, key, address)
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	d.want(ip != nil && ip.IsLoopback(), key, "%q: want a loopback address, e.g. 127.0.0.1:0", address)
}

func checkURL(d *decoder, key, text string, needed bool) {
	if text == "" && !needed {
		return
	}
	u, err := url.Parse(text)
	good := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	d.want(good, key, "%q: want a URL such as http://10.0.0.5:2400", text)
}

func checkURLs(d *decoder, key string, urls []string) {
	for i, u := range urls {
		checkURL(d, fmt.Sprintf("%s[%d]", key, i), u, true)
	}
}
