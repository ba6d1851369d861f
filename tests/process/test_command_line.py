"""Command lines of the daemons."""

import glob
import os
import re
import subprocess
import tempfile
import unittest

from cluster import BUILD

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
PROGRAMS = ["agent/siskin-agent", "entry/siskin-entry", "pilot/siskin-pilot",
            "relay/siskin-relay"]
USAGE = 64


def run(program, *arguments):
    return subprocess.run([os.path.join(BUILD, program), *arguments],
                          capture_output=True, text=True, timeout=10)


class CommandLineTest(unittest.TestCase):
    def run_check(self, text, program="relay/siskin-relay"):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as stream:
            stream.write(text)
            stream.flush()
            return run(program, "--check", "--config", stream.name)

    def test_version_and_help(self):
        for program in PROGRAMS:
            with self.subTest(program):
                self.assertRegex(run(program, "--version").stdout,
                                 r"^siskinspur \d+\.\d+\.\d+\n$")
                self.assertIn("--check", run(program, "--help").stdout)

    def test_wrong_command_line(self):
        for arguments in ([], ["--config"], ["--nonsense"],
                          ["--config", "x", "y"]):
            self.assertEqual(run("relay/siskin-relay", *arguments).returncode,
                             USAGE)

    def test_check_reports_all_errors_with_their_positions(self):
        for program in PROGRAMS:
            result = self.run_check('nme = "x"\nworkers = 99\n'
                                    'stop_timeout = "soon"\n', program)
            with self.subTest(program):
                self.assertEqual(result.returncode, 1)
                self.assertIn(".toml:1:7: 'nme' is not a known",
                              result.stderr)
                self.assertIn(".toml:2:11: 'workers' must be", result.stderr)
                self.assertIn(".toml:3:", result.stderr)
                self.assertIn("'name' is missing", result.stderr)

    def test_check_of_an_unreadable_file(self):
        result = run("relay/siskin-relay", "--check", "--config", "/no/file")
        self.assertEqual(result.returncode, 1)
        self.assertIn("/no/file", result.stderr)

    def test_rendered_platform_templates_are_valid(self):
        values = {"zones": '"a=south"', "limits.cores": "1",
                  "bootstrap": "true", "bounds.grace_s": "8",
                  "bounds.budget_window_s": "10",
                  "bounds.config_apply_ms": "2000",
                  "bounds.drain_ms": "2000"}
        for path in glob.glob(os.path.join(ROOT, "deploy", "*.toml")):
            name = os.path.basename(path)[:-len(".toml")]
            if name == "system":
                continue
            with open(path) as stream:
                text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}",
                              values["zones"], stream.read())
            text = re.sub(r"\{\{([a-z_.0-9]+)\}\}",
                          lambda m: values.get(m.group(1), "1"), text)
            result = self.run_check(text, "%s/siskin-%s" % (name, name))
            with self.subTest(name):
                self.assertEqual(result.stderr, "")
                self.assertEqual(result.returncode, 0)


if __name__ == "__main__":
    unittest.main()
