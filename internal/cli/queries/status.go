package queries

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// StatusReport is the JSON output of Status.
type StatusReport struct {
	// Entry is the ID of the entry process that answered.
	Entry          string
	RulesRevision  uint64
	StoreReachable bool
	// Behind is the number of processes that apply an older revision of the rules than the entry process.
	Behind  int
	Members []hub.Member
}

// Status returns the query that shows the state of every process.
func Status() *table.Command {
	target := client.NewTarget()
	var asJSON bool
	return &table.Command{
		Name:    "status",
		Section: table.Queries,
		Help:    "show every process with its state, version and revision of the rules",
		Detail:  "The output comes from the records that the processes exchange with the entry process; the store is not read.",
		Flags:   target.Flags(jsonFlag(&asJSON)),
		Run: func(ctx context.Context, env *table.Env) error {
			reply, err := target.ReadStatus(ctx)
			if err != nil {
				return err
			}
			report := newStatusReport(reply)
			if asJSON {
				return client.WriteJSON(env.Out, report)
			}
			return WriteStatus(env.Out, report)
		},
	}
}

// newStatusReport returns the report of a status reply.
func newStatusReport(reply *message.StatusReply) StatusReport {
	report := StatusReport{
		Entry:          reply.GetId(),
		RulesRevision:  reply.GetRulesRevision(),
		StoreReachable: reply.GetStoreReachable(),
		Members:        exchange.FromMembers(reply.GetMembers()),
	}
	for _, m := range report.Members {
		if m.RulesRevision < report.RulesRevision {
			report.Behind++
		}
	}
	return report
}

// WriteStatus writes a status to w as text.
func WriteStatus(w io.Writer, r StatusReport) error {
	reachable := "answers"
	if !r.StoreReachable {
		reachable = "does not answer"
	}
	fmt.Fprintf(w, "Rules revision %d as known to %s; the store %s; %d of %d processes are behind.\n\n",
		r.RulesRevision, r.Entry, reachable, r.Behind, len(r.Members))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "PROCESS\tROLE\tDOMAIN\tSTATE\tREVISION\tRUNNING/LIMIT\tVERSION\tNOTE")
	for _, m := range r.Members {
		load := ""
		if m.Role == hub.RoleSide {
			load = fmt.Sprintf("%d/%d", m.Running, m.Limit)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", m.Id, m.Role, m.Domain, m.State, m.RulesRevision, load, m.ServingVersion, m.Note)
	}
	return tw.Flush()
}

// Explain returns the query that shows the trace of a request.
func Explain() *table.Command {
	target := client.NewTarget()
	var id string
	var asJSON bool
	return &table.Command{
		Name:    "explain",
		Section: table.Queries,
		Help:    "show what happened to a recent request and why",
		Detail:  "Queries all entry processes in the status of the given one.",
		Args:    []table.Arg{{Name: "REQUEST-ID", Help: "value of the response header X-Request-Id", Target: &id, Required: true}},
		Flags:   target.Flags(jsonFlag(&asJSON)),
		Run: func(ctx context.Context, env *table.Env) error {
			traces, err := findTraces(ctx, target, id)
			if err != nil {
				return err
			}
			if asJSON {
				return client.WriteJSON(env.Out, traces)
			}
			if len(traces) == 0 {
				return fmt.Errorf("no entry process has a trace of request %q", id)
			}
			for _, t := range traces {
				fmt.Fprintf(env.Out, "at %s:\n", t.Entry)
				for _, line := range t.Lines {
					fmt.Fprintf(env.Out, "  %s\n", line)
				}
			}
			return nil
		},
	}
}

// Trace is the trace of a request at one entry process, in the JSON output of Explain.
type Trace struct {
	// Entry is the ID of the entry process.
	Entry string
	// Lines are the lines of the trace or the error that prevented reading it.
	Lines []string
}

// findTraces reads the traces of the request id from all entry processes. The error of a process that could not be read
// takes the place of its trace.
func findTraces(ctx context.Context, target *client.Target, id string) ([]Trace, error) {
	status, err := target.ReadStatus(ctx)
	if err != nil {
		return nil, err
	}
	traces := []Trace{}
	for _, m := range status.GetMembers() {
		if m.GetRole() != hub.RoleEntry {
			continue
		}
		entry := &client.Target{Entry: m.GetAddress(), Keys: target.Keys, Deployment: target.Deployment}
		err := entry.Call(ctx, func(ctx context.Context, c message.DRPCOperatorClient) error {
			reply, err := c.ReadTrace(ctx, &message.ReadTraceRequest{RequestId: id})
			if err == nil && reply.GetFound() {
				traces = append(traces, Trace{Entry: m.GetId(), Lines: reply.GetLines()})
			}
			return err
		})
		if err != nil {
			traces = append(traces, Trace{Entry: m.GetId(), Lines: []string{err.Error()}})
		}
	}
	return traces, nil
}
