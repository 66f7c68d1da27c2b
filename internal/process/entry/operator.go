package entry

import (
	"context"
	"errors"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/rules/ledger"
	"github.com/oriolehub/oriolehub/internal/rules/statement"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// historyTimeout is the time limit for reading the history of the rules from the store.
const historyTimeout = 3 * time.Second

// operator implements the RPC service for operators.
type operator struct {
	entry *Entry
}

// ApplyRules replaces the rules text. Faults in the text and conflicts with other edits are returned in the reply.
func (o *operator) ApplyRules(ctx context.Context, r *message.ApplyRequest) (*message.ApplyReply, error) {
	p := o.entry
	edit := ledger.Edit{Text: r.GetText(), Base: r.GetBase(), Author: r.GetAuthor(), WriteId: r.GetWriteId()}
	revision, value, err := p.ledger.Apply(ctx, edit)
	log := p.journal.Logger(journal.State)
	var faults statement.Faults
	switch {
	case err == nil:
		if value != nil {
			p.catalog.PutDocument(hub.Document{Name: ledger.Key, Revision: revision, Value: ledger.WithoutHistory(value)})
		}
		log.Info().Uint64("Revision", revision).Uint64("Base", edit.Base).Str("Author", edit.Author).Msg("new rules applied")
		return &message.ApplyReply{Revision: revision}, nil
	case errors.As(err, &faults):
		return &message.ApplyReply{Fault: faults.Error()}, nil
	case errors.Is(err, ledger.ErrStale):
		log.Warn().Uint64("Base", edit.Base).Str("Author", edit.Author).Err(err).Msg("rules edit rejected because its base revision is out of date")
		return o.conflict(ctx)
	default:
		log.Warn().Str("Author", edit.Author).Err(err).Msg("cannot apply the rules; returning the error to the operator")
		return nil, err
	}
}

// conflict returns the reply for an edit whose base is out of date, with the current rules.
func (o *operator) conflict(ctx context.Context) (*message.ApplyReply, error) {
	record, revision, err := o.entry.ledger.Read(ctx)
	if err != nil {
		return nil, err
	}
	return &message.ApplyReply{Conflict: true, CurrentText: record.Text, CurrentRevision: revision}, nil
}

// ReadRules returns the rules that this process uses. The reply includes their history if the store responds within
// historyTimeout.
func (o *operator) ReadRules(ctx context.Context, _ *message.ReadRulesRequest) (*message.RulesReply, error) {
	d := o.entry.catalog.Document(ledger.Key)
	if d.Revision == 0 {
		return &message.RulesReply{}, nil
	}
	known, err := ledger.Decode(d.Value)
	if err != nil {
		return nil, err
	}
	reply := &message.RulesReply{Revision: d.Revision, Text: known.Text}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	record, revision, err := o.entry.ledger.Read(ctx)
	if err != nil {
		o.entry.journal.Logger(journal.State).Warn().Err(err).Msg("cannot read the rules history from the store; replying without it")
		return reply, nil
	}
	for _, e := range record.History {
		reply.History = append(reply.History, toHistoryEntry(e))
	}
	current := ledger.Entry{Revision: revision, Author: record.Author, Time: record.Time, Base: record.Base, Diff: record.Diff}
	reply.History = append(reply.History, toHistoryEntry(current))
	return reply, nil
}

func toHistoryEntry(e ledger.Entry) *message.HistoryEntry {
	return &message.HistoryEntry{Revision: e.Revision, Author: e.Author, TimeUnixMs: e.Time.UnixMilli(), Base: e.Base, Diff: e.Diff}
}

// ReadStatus returns the status of this process and the current member records of all known processes.
func (o *operator) ReadStatus(ctx context.Context, _ *message.ReadStatusRequest) (*message.StatusReply, error) {
	p := o.entry
	reply := &message.StatusReply{
		Id:             p.settings.Id,
		RulesRevision:  p.publisher.Current().RulesRevision,
		StoreReachable: p.relay.Reachable(),
	}
	reply.Members = p.describeAll(ctx)
	for _, d := range p.catalog.Documents() {
		reply.Documents = append(reply.Documents, &message.DocumentStatus{Name: d.Name, Revision: d.Revision})
	}
	return reply, nil
}

// ReadTrace returns the trace of a request that this process has handled.
func (o *operator) ReadTrace(_ context.Context, r *message.ReadTraceRequest) (*message.TraceReply, error) {
	record, err := o.entry.traces.Find(r.GetRequestId())
	if err != nil {
		return &message.TraceReply{}, nil
	}
	return &message.TraceReply{Found: true, Lines: record.Lines()}, nil
}

// SetLogLevel changes the log level of a subsystem of this process.
func (o *operator) SetLogLevel(_ context.Context, r *message.SetLogLevelRequest) (*message.SetLogLevelReply, error) {
	if err := o.entry.journal.SetLevel(r.GetSubsystem(), r.GetLevel()); err != nil {
		return nil, err
	}
	return &message.SetLogLevelReply{}, nil
}
