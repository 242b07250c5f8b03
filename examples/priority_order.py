"""Print the classes of importance in the order in which they are shed."""

from kumquatwalk import Importance


def main() -> None:
    """Print one class a line, the class shed first on top."""
    for importance in sorted(Importance, reverse=True):
        print(importance.name.lower())


if __name__ == "__main__":
    main()
