package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

const completionHelp = `Writes a completion script for a shell. It completes commands, options and file names.

Examples:
  toucangwctl completion bash > toucangwctl.bash
  source <(toucangwctl completion bash)`

// bashCompletion calls the tool itself, which go-flags answers with the
// completions of the last argument while GO_FLAGS_COMPLETION is set. bash
// splits --option=value at the equals sign and replaces the value alone, so the
// script joins the parts and cuts the option off the answers.
const bashCompletion = `# bash completion for toucangwctl
_toucangwctl() {
    local IFS=$'\n' args=() word last=-1 join=
    for word in "${COMP_WORDS[@]:1:$COMP_CWORD}"; do
        if [[ $last -ge 0 && ( $word == "=" || -n $join ) ]]; then
            args[last]+=$word
            join=
            [[ $word == "=" ]] && join=1
        else
            args+=("$word")
            last=$((last + 1))
        fi
    done
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}" 2>/dev/null))
    [[ ${args[last]} == --*=* ]] && COMPREPLY=("${COMPREPLY[@]#*=}")
    return 0
}
complete -o filenames -F _toucangwctl toucangwctl
`

func init() {
	register(command{
		name:  "completion",
		short: "Write a completion script for a shell",
		long:  completionHelp,
		build: func(env *environment) any { return &completionCommand{env: env} },
	})
}

// shell is the name of a supported shell.
type shell string

const shellBash shell = "bash"

// Complete implements flags.Completer.
func (shell) Complete(string) []flags.Completion {
	return []flags.Completion{{Item: string(shellBash)}}
}

type completionCommand struct {
	Args struct {
		Shell shell `positional-arg-name:"SHELL" description:"Shell: bash" required:"yes"`
	} `positional-args:"yes"`

	env *environment
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute(args []string) error {
	if c.Args.Shell != shellBash || len(args) > 0 {
		return &exitError{exitUsage, fmt.Errorf("no completion for %q; want bash", c.Args.Shell)}
	}
	if _, err := io.WriteString(c.env.out, bashCompletion); err != nil {
		return &exitError{exitUsage, fmt.Errorf("write the script: %w", err)}
	}
	return nil
}
