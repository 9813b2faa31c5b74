package harness

import (
	"os/exec"
	"path/filepath"
	"strings"
)

// Tool runs the operators' tool with the addresses of all control nodes and returns its output and
// exit status.
func (c *Cluster) Tool(args ...string) (output string, status int) {
	c.T.Helper()
	var admins []string
	for _, n := range c.Nodes {
		if n.Spec.Control {
			admins = append(admins, n.Admin)
		}
	}
	args = append(args, "-addresses", strings.Join(admins, ","), "-token-file", c.tokens.admin)
	command := exec.Command(Program(c.T, "citronstep"), args...)
	out, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		c.T.Fatalf("tool: %v", err)
	}
	return string(out), command.ProcessState.ExitCode()
}

// Document writes a configuration document to a file and returns the file's path.
func (c *Cluster) Document(name, text string) string {
	c.T.Helper()
	return c.write(filepath.Clean(name), text)
}
