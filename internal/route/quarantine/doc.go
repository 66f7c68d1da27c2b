// Package quarantine finds the parts of prompts that crash upstreams and tells which requests must not be sent because
// they contain such a part. Processes share what they have seen in notices.
package quarantine
