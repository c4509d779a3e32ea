package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"
)

// Guards against help that is written to standard error or lacks examples.
func TestHelp(t *testing.T) {
	got := runTool("--help")
	require.Equal(t, exitOK, got.code)
	require.Empty(t, got.err)
	for _, c := range commands {
		require.Contains(t, got.out, c.short)
		help := runTool(c.name, "--help")
		require.Equal(t, exitOK, help.code)
		require.Contains(t, help.out, "Examples:\n"+programName+" "+c.name, "help of %s", c.name)
	}
}

// Guards against --version being handled as wrong usage, since it ends parsing
// with an error as wrong usage does.
func TestVersion(t *testing.T) {
	got := runTool("--version")
	require.Equal(t, exitOK, got.code)
	require.True(t, strings.HasPrefix(got.out, "toucangwctl "), got.out)
	require.Empty(t, got.err)
}

// Guards against exit code 0 when the output could not be written.
func TestOutputFails(t *testing.T) {
	for _, args := range [][]string{{"completion", "bash"}, {"check", "../../examples/kandy/base.toml"}} {
		var errOut bytes.Buffer
		code := run(args, &environment{out: brokenWriter{}, err: &errOut})
		require.Equal(t, exitUsage, code)
		require.Contains(t, errOut.String(), "broken pipe")
	}
}

type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Guards against completion without commands, options, choices or files.
func TestCompletion(t *testing.T) {
	writeFiles(t, map[string]string{"base.toml": "", "other.txt": ""})
	tests := map[string]struct {
		args []string
		want []string
	}{
		"commands": {[]string{"ch"}, []string{"check"}},
		"options":  {[]string{"check", "--js"}, []string{"--json"}},
		"choices":  {[]string{"check", "--color", "a"}, []string{"always", "auto"}},
		"joined":   {[]string{"check", "--color=a"}, []string{"--color=always", "--color=auto"}},
		"files":    {[]string{"check", "ba"}, []string{"base.toml"}},
		"levels":   {[]string{"loglevel", "w"}, []string{"warn"}},
		"shells":   {[]string{"completion", ""}, []string{"bash"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Setenv("GO_FLAGS_COMPLETION", "1")
			parser, err := newParser(&environment{})
			require.NoError(t, err)
			var got []string
			parser.CompletionHandler = func(items []flags.Completion) {
				for _, item := range items {
					got = append(got, item.Item)
				}
			}
			_, err = parser.ParseArgs(test.args)
			require.NoError(t, err)
			require.Equal(t, test.want, got)
		})
	}
}

// Guards against a completion script that bash rejects, or that mishandles
// spaces and --option=value.
func TestCompletionScript(t *testing.T) {
	bash, err := exec.LookPath("bash")
	require.NoError(t, err)
	got := runTool("completion", "bash")
	require.Equal(t, exitOK, got.code)
	require.Equal(t, exitUsage, runTool("completion", "zsh").code)

	dir := t.TempDir()
	// A fake of the installed tool, which prints its arguments.
	tool := "#!" + bash + "\n[ \"$GO_FLAGS_COMPLETION\" = 1 ] && printf '%s\\n' \"$@\"\n"
	require.NoError(t, os.WriteFile(filepath.Join(dir, "toucangwctl"), []byte(tool), 0o755))
	script := got.out + `
complete_words() {
    COMP_WORDS=(toucangwctl "$@"); COMP_CWORD=$#
    _toucangwctl
    printf '<%s>' "${COMPREPLY[@]}"
    echo
}
complete_words check "a b"
complete_words check --color = a
complete_words check --color =
complete_words check --color=never --color = a x
`
	cmd := exec.Command(bash, "--norc", "-c", script)
	cmd.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
	require.Equal(t, "<check><a b>\n<check><a>\n<check><>\n<check><--color=never><--color=a><x>\n", string(out))
}
