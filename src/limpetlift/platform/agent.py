"""Entry point of the agent on the platform."""

from limpetlift.platform import deployment
from limpetlift.tasks import segmentagent


def main():
    """Run the agent."""
    deployment.run(segmentagent.SegmentAgent)


if __name__ == "__main__":
    main()
