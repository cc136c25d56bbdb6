"""Entry point of the ``limpetlift`` command and of the zipapp."""

from limpetlift import cli


def main():
    """Run the command-line interface."""
    cli.main()


if __name__ == "__main__":
    main()
