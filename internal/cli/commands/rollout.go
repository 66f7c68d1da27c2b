package commands

import (
	"context"
	"fmt"
	"strings"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/rules/statement"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// edit is a change of the rules in force by a command.
type edit struct {
	target *client.Target
	group  string
	who    string
	author string
}

func newEdit() *edit {
	return &edit{target: client.NewTarget()}
}

func (e *edit) command(name, help, detail string, change func(text string, e *edit, history []*message.HistoryEntry) (string, error)) *table.Command {
	return &table.Command{
		Name:    name,
		Section: table.Commands,
		Help:    help,
		Detail:  detail,
		Args:    []table.Arg{{Name: "GROUP", Help: "group of upstreams", Target: &e.group, Required: true}},
		Flags: e.target.Flags(
			table.Flag{Name: "who", Help: "who asked and why, e.g. 'Amr, yard operations: wrong grades'; required", Target: &e.who},
			table.Flag{Name: "author", Help: "name for the history; else the name of the user", Target: &e.author},
		),
		Run: func(ctx context.Context, env *table.Env) error {
			if strings.TrimSpace(e.who) == "" {
				return table.ExitErrorf(table.ExitUsage, "missing --who: every rule names who asked for it")
			}
			current, err := e.target.ReadRules(ctx)
			if err != nil {
				return err
			}
			text, err := change(current.GetText(), e, current.GetHistory())
			if err != nil {
				return err
			}
			fmt.Fprint(env.Out, statement.Diff(current.GetText(), text))
			return applyText(ctx, env, e.target, text, current.GetRevision(), e.author)
		},
	}
}

// RolloutPause returns the command that stops further upstreams from loading.
func RolloutPause() *table.Command {
	return newEdit().command("rollout pause", "let no further upstream of a group load a new version",
		"Adds a Pause rule. Fetching goes on; upstreams that have begun to load finish.", pauseGroup)
}

func pauseGroup(text string, e *edit, _ []*message.HistoryEntry) (string, error) {
	rules, err := parseRulesWithGroup(text, e.group)
	if err != nil {
		return "", err
	}
	if rules.FindGroup(e.group).Paused {
		return "", fmt.Errorf("the group %q is paused already", e.group)
	}
	return statement.Add(text, fmt.Sprintf("%s %s # %s", statement.Pause, e.group, e.who)), nil
}

// RolloutResume returns the command that lets upstreams load again.
func RolloutResume() *table.Command {
	return newEdit().command("rollout resume", "let the upstreams of a group load again", "Removes the Pause rule.", resumeGroup)
}

func resumeGroup(text string, e *edit, _ []*message.HistoryEntry) (string, error) {
	rules, err := parseRulesWithGroup(text, e.group)
	if err != nil {
		return "", err
	}
	if !rules.FindGroup(e.group).Paused {
		return "", fmt.Errorf("the group %q is not paused", e.group)
	}
	return statement.Remove(text, statement.Pause, e.group), nil
}

// RolloutBack returns the command that serves the previous version again.
func RolloutBack() *table.Command {
	return newEdit().command("rollout back", "serve the version that a group served before",
		"Changes the Serve rule back to the version that the newest earlier revision named.", rollBack)
}

func rollBack(text string, e *edit, history []*message.HistoryEntry) (string, error) {
	rules, err := parseRulesWithGroup(text, e.group)
	if err != nil {
		return "", err
	}
	current := rules.FindGroup(e.group).Version
	previous := previousVersion(e.group, current, history)
	if previous == "" {
		return "", fmt.Errorf("the history names no earlier version of the group %q", e.group)
	}
	text = statement.Remove(text, statement.Serve, e.group)
	return statement.Add(text, fmt.Sprintf("%s %s %s # %s", statement.Serve, e.group, previous, e.who)), nil
}

// previousVersion returns the version that the newest edit replaced for a group by another one.
func previousVersion(group, current string, history []*message.HistoryEntry) string {
	for i := len(history) - 1; i >= 0; i-- {
		for line := range strings.SplitSeq(history[i].GetDiff(), "\n") {
			removed, ok := strings.CutPrefix(line, "- ")
			if !ok {
				continue
			}
			words := strings.Fields(removed)
			if len(words) >= 3 && words[0] == string(statement.Serve) && words[1] == group && words[2] != current {
				return words[2]
			}
		}
	}
	return ""
}

func parseRulesWithGroup(text, group string) (*statement.Ruleset, error) {
	rules, err := statement.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("the rules in force can't be read: %w", err)
	}
	if rules.FindGroup(group) == nil {
		return nil, fmt.Errorf("no rule declares the group %q", group)
	}
	return rules, nil
}
