"""The node process: settings and composition root."""
