"""Programs that show how kumquatwalk is used."""
