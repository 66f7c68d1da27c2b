// Package placement chooses the upstream of each request by predicted load and network distance. Requests for which no
// upstream has room wait in queues ordered by priority and, within a priority, fairly by client account.
package placement
