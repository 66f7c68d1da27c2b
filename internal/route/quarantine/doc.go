// Package quarantine finds the parts of prompts, and the single requests, that crash upstreams and tells which requests must
// not be sent because they are such a request or contain such a part. Processes share what they have seen in notices.
package quarantine
