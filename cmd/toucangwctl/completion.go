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

// bashCompletion runs the tool with GO_FLAGS_COMPLETION set, which makes
// go-flags print the completions of the last argument. bash splits
// --option=value at the equals sign and replaces only the value, so the script
// joins the parts before the call and strips the option from the completions.
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
		return &exitError{exitUsage, fmt.Errorf("no completion script for %q; want bash", c.Args.Shell)}
	}
	if _, err := io.WriteString(c.env.out, bashCompletion); err != nil {
		return &exitError{exitUsage, fmt.Errorf("write the completion script: %w", err)}
	}
	return nil
}
