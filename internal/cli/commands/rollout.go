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

// edit holds the flags and arguments of a command that changes the rules of one group.
type edit struct {
	target *client.Target
	group  string
	// who states who requested the change and why; it becomes the comment of an added rule.
	who string
	// author is the author recorded in the history; if empty, the name of the user.
	author string
}

func newEdit() *edit {
	return &edit{target: client.NewTarget()}
}

// command returns a command that reads the rules in force, edits their text with change and applies the result.
func (e *edit) command(name, help, detail string, change func(text string, e *edit, history []*message.HistoryEntry) (string, error)) *table.Command {
	return &table.Command{
		Name:    name,
		Section: table.Commands,
		Help:    help,
		Detail:  detail,
		Args:    []table.Arg{{Name: "GROUP", Help: "group of upstreams", Target: &e.group, Required: true}},
		Flags: e.target.Flags(
			table.Flag{Name: "who", Help: "who requested the change and why, e.g. 'Amr, yard operations: wrong grades'; required", Target: &e.who},
			table.Flag{Name: "author", Help: "author recorded in the history; default: name of the user", Target: &e.author},
		),
		Run: func(ctx context.Context, env *table.Env) error {
			if strings.TrimSpace(e.who) == "" {
				return table.ExitErrorf(table.ExitUsage, "missing --who: state who requested the change and why")
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

// RolloutPause returns the command that stops further upstreams of a group from loading a new version.
func RolloutPause() *table.Command {
	return newEdit().command("rollout pause", "stop further upstreams of a group from loading a new version",
		"Adds a Pause rule. Fetching continues, and upstreams that are already loading finish.", pauseGroup)
}

// pauseGroup returns text with a Pause rule for the group added.
func pauseGroup(text string, e *edit, _ []*message.HistoryEntry) (string, error) {
	rules, err := parseRulesWithGroup(text, e.group)
	if err != nil {
		return "", err
	}
	if rules.FindGroup(e.group).Paused {
		return "", fmt.Errorf("group %q is already paused", e.group)
	}
	return statement.Add(text, fmt.Sprintf("%s %s # %s", statement.Pause, e.group, e.who)), nil
}

// RolloutResume returns the command that lets the upstreams of a group load new versions again.
func RolloutResume() *table.Command {
	return newEdit().command("rollout resume", "let the upstreams of a group load new versions again", "Removes the Pause rule.", resumeGroup)
}

// resumeGroup returns text without the Pause rule for the group.
func resumeGroup(text string, e *edit, _ []*message.HistoryEntry) (string, error) {
	rules, err := parseRulesWithGroup(text, e.group)
	if err != nil {
		return "", err
	}
	if !rules.FindGroup(e.group).Paused {
		return "", fmt.Errorf("group %q is not paused", e.group)
	}
	return statement.Remove(text, statement.Pause, e.group), nil
}

// RolloutBack returns the command that returns a group to its previous version.
func RolloutBack() *table.Command {
	return newEdit().command("rollout back", "return a group to its previous version",
		"Sets the Serve rule to the version that was most recently replaced by another one, according to the history.", rollBack)
}

// rollBack returns text with the Serve rule for the group replaced by one for its previous version.
func rollBack(text string, e *edit, history []*message.HistoryEntry) (string, error) {
	rules, err := parseRulesWithGroup(text, e.group)
	if err != nil {
		return "", err
	}
	current := rules.FindGroup(e.group).Version
	previous := previousVersion(e.group, current, history)
	if previous == "" {
		return "", fmt.Errorf("the history contains no earlier version of group %q", e.group)
	}
	text = statement.Remove(text, statement.Serve, e.group)
	return statement.Add(text, fmt.Sprintf("%s %s %s # %s", statement.Serve, e.group, previous, e.who)), nil
}

// previousVersion returns the version that was removed from the Serve rule of group by the latest revision whose removed
// version differs from current, or an empty string if there is none.
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

// parseRulesWithGroup parses the rules in force and returns an error if they do not declare group.
func parseRulesWithGroup(text, group string) (*statement.Ruleset, error) {
	rules, err := statement.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("parse the rules in force: %w", err)
	}
	if rules.FindGroup(group) == nil {
		return nil, fmt.Errorf("group %q is not declared in the rules in force", group)
	}
	return rules, nil
}
