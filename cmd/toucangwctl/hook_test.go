package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// asTool makes the test binary act as toucangwctl, for tests that need a
// program to execute.
const asTool = "TOUCANGWCTL_TEST_AS_TOOL"

func TestMain(m *testing.M) {
	if os.Getenv(asTool) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// toolPath returns a PATH on which the test binary is found as toucangwctl.
func toolPath(t *testing.T) string {
	t.Helper()
	self, err := os.Executable()
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, os.Symlink(self, filepath.Join(dir, programName)))
	return dir + ":" + os.Getenv("PATH")
}

// Guards against a pre-commit hook that checks the working tree instead of the
// staged files, or that lets a commit with problems pass.
func TestPreCommitHook(t *testing.T) {
	hook, err := filepath.Abs("../../examples/hook/pre-commit")
	require.NoError(t, err)
	path := toolPath(t)
	writeFiles(t, map[string]string{"base.toml": testBase})
	git := func(args ...string) (string, error) {
		cmd := exec.Command("git", args...)
		cmd.Env = []string{
			"PATH=" + path, asTool + "=1", "HOME=" + t.TempDir(), "GIT_CONFIG_NOSYSTEM=1",
			"GIT_AUTHOR_NAME=a", "GIT_AUTHOR_EMAIL=a@example.org", "GIT_COMMITTER_NAME=a", "GIT_COMMITTER_EMAIL=a@example.org",
		}
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	mustGit := func(args ...string) {
		t.Helper()
		out, err := git(args...)
		require.NoError(t, err, out)
	}
	mustGit("init", "-q")
	require.NoError(t, os.Symlink(hook, ".git/hooks/pre-commit"))
	mustGit("add", ".")
	mustGit("commit", "-q", "-m", "base without overlays")

	require.NoError(t, os.Mkdir("overlay", 0o755))
	require.NoError(t, os.WriteFile("overlay/docks.toml", []byte(testOverlay), 0o644))
	mustGit("add", ".")
	mustGit("commit", "-q", "-m", "valid overlay")

	bad := strings.Replace(testBase, "slots = 8", "slots = 80", 1)
	require.NoError(t, os.WriteFile("base.toml", []byte(bad), 0o644))
	mustGit("commit", "-q", "--allow-empty", "-m", "problem that is not staged")
	out, err := git("commit", "-q", "-a", "-m", "problem")
	require.Error(t, err)
	require.Contains(t, out, "base.toml:5: service.store.connections: 8 connections cannot serve 80 slots [connections]")
}
