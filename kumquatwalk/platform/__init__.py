"""Wire names, document formats and store clients of the platform."""
