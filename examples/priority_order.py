"""Print the importance classes in the order in which they are shed."""

from kumquatwalk import Importance


def main() -> None:
    """Print one class per line, starting with the class shed first."""
    for importance in sorted(Importance, reverse=True):
        print(importance.name.lower())


if __name__ == "__main__":
    main()
