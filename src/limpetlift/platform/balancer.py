"""Entry point of the balancer on the platform."""

from limpetlift.platform import deployment
from limpetlift.tasks import segmentbalancer


def main():
    """Run the balancer."""
    deployment.run(segmentbalancer.SegmentBalancer)


if __name__ == "__main__":
    main()
