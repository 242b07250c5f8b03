"""Short soak in the shape of a deployment, with a fixed seed."""

import unittest

from kumquatwalk.soak.deployment_runner import run_deployment_soak

# Planned work only.
SEED = 1
SECONDS = 5.0
RATE = 0.05


class DeploymentSoakTest(unittest.TestCase):

    # Guards against LOST: requests ended without an answer in rolling restarts
    # of nodes whose targets call each other.
    def test_no_promise_is_broken_in_rolling_restarts(self):
        self.check(run_deployment_soak(SEED, SECONDS, RATE))

    def test_no_promise_is_broken_with_the_delays_of_the_deployment(self):
        self.check(run_deployment_soak(SEED, SECONDS, RATE, has_delays=True))

    # Guards against LOST: faults excuse losses only at the nodes they hit.
    def test_no_promise_is_broken_beside_faults_elsewhere(self):
        result = run_deployment_soak(SEED, SECONDS, RATE, is_disturbed=True)
        self.check(result)
        self.assertGreater(result.outcomes["left"], 0)

    def check(self, result):
        """Check that no promise was broken, and that requests were served."""
        self.assertEqual(result.violations, (), result.losses)
        self.assertGreater(result.actions, 2)
        self.assertGreater(result.outcomes["200"], 100)


if __name__ == "__main__":
    unittest.main()
