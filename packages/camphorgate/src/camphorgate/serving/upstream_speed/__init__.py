"""Speed of each upstream, learned from its responses and from peers.

Addresses the load of a deployment whose upstreams differ in speed by factors of 0.7 to
1.7 and are slowed 2.5 times for 0.15 of the intervals of 0.6 s: 67 instances, each with
about 3 generations and one plain request per second, choose among 30 engines and 3 to 5
upstreams of a plain service. No instance alone sends to an engine often enough to know
its speed, so observations are shared with peers.
"""

from camphorgate.serving.upstream_speed.reported_load import ReportedLoads
from camphorgate.serving.upstream_speed.table import SpeedNews, SpeedTable

__all__ = ["ReportedLoads", "SpeedNews", "SpeedTable"]
