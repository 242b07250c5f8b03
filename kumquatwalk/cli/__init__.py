"""Commands of the ``kumquatwalk`` program."""
