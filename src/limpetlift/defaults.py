"""Constants and the defaults of settings, each with its unit.

Suffixes name the unit (``_S``, ``_BYTES``); shares, factors and weights have
none. ``_AFTER_S`` is the time without a message after which a conclusion is
drawn, and ``MAX_`` an upper bound that is still permitted.
"""

# Placement of flows.

# Flows are hashed into this many buckets, which are assigned to agents.
PLACEMENT_BUCKETS = 4096

# Ownership of flows.

# A packet is forwarded between agents at most this many times.
HOP_LIMIT = 3
# Agents that hold a redirect entry for a flow besides its owner.
REDIRECT_COPIES = 2
REDIRECT_BATCH_DELAY_S = 0.05
# Time after a change of the membership in which other members may still use
# an older view.
OWNERSHIP_SETTLE_S = 2.0
# Shorter than OWNER_QUERY_RETRY_S * OWNER_QUERY_ATTEMPTS: after that time
# another agent may accept a flow without the answer of a paused agent, which
# must then query the others itself.
FLOW_PAUSE_THRESHOLD_S = 0.05
# Batches of redirects and owner queries are sent this many times at this
# interval; after that the interval doubles up to REDIRECT_RETRY_MAX_S.
OWNER_QUERY_RETRY_S = 0.02
OWNER_QUERY_ATTEMPTS = 3
# Longest wait for answers when more members are silent than permitted.
OWNER_QUERY_MAX_WAIT_S = 1.0
# Members queried when the owner of a flow is in doubt. A service has 7 backend
# servers on average.
OWNER_QUERY_MEMBERS = 8
REDIRECT_RETRY_MAX_S = 1.0
# 48 entries of 24 bytes and the envelope fit in MAX_DATAGRAM_BYTES.
REDIRECTS_PER_BATCH = 48
# Lifetime of a redirect entry that the owner has not confirmed.
REDIRECT_HINT_TTL_S = 2.0
# Buckets whose redirect entries are checked per tick after a change of the
# view.
RENEWED_BUCKETS_PER_TICK = 256
# Packets kept for a flow while its owner is looked up.
MAX_PENDING_PACKETS = 16
# An agent announces a change of its record without the acknowledgements that
# are missing after PREPARE_TIMEOUT_S.
PREPARE_TIMEOUT_S = 1.0
PREPARE_RETRY_S = 0.05
# A prepared record that is not announced within this time is dropped.
PREPARED_RECORD_TTL_S = 3.0
# Balancers forward thousands of packets per second; one that sent none for
# this long is considered failed if another one was heard more recently.
BALANCER_SILENT_AFTER_S = 2.0
BALANCER_RETENTION_S = 60.0
FLOW_IDLE_S = 4 * 3600.0
MAX_FLOWS_PER_SERVER = 2000
# Policy "bounded" gives new flows to agents with up to SHARING_BOUND_FACTOR
# times the mean number of flows plus SHARING_SLACK_FLOWS. With a slack of 1
# flow, random variation of small counts made it pass on 6% of the flows, and a
# join moved 0.198 instead of 0.15 of them.
SHARING_BOUND_FACTOR = 1.02
SHARING_SLACK_FLOWS = 32
# The weight of an agent that joins rises from SLOW_START_INITIAL_WEIGHT to 1
# in SLOW_START_STEPS steps.
SLOW_START_S = 10.0
SLOW_START_INITIAL_WEIGHT = 0.1
SLOW_START_STEPS = 10
# The timer wheel for idle flows has this many slots per idle timeout.
IDLE_WHEEL_SLOTS = 128

# Requests.

SLOTS_PER_SERVER = 2
REQUEST_TIMEOUT_S = 30.0
RETRY_WINDOW_S = 60.0
MAX_STORED_ANSWER_BYTES = 64 * 1024
MAX_STORED_ANSWERS_TOTAL_BYTES = 16 * 1024 * 1024
MAX_IDEMPOTENCY_KEY_CHARS = 128
# A claim record is held this much longer than the retry window, because the
# last permitted attempt spends time in transit, in the queue and in the claim.
CLAIM_RETENTION_MARGIN_S = 30.0
CLAIM_TIMEOUT_S = 2.0
# A request that has waited longer does not claim its key: the votes for an
# earlier attempt may have expired by then.
CLAIM_MAX_REQUEST_AGE_S = 20.0
CLAIM_RESEND_S = 0.02
CLAIM_RESEND_MAX_S = 0.32
MAX_CLAIM_RECORDS = 65536
IDEMPOTENCY_KEY_DIGEST_BYTES = 16
VOTE_PULL_INTERVAL_S = 0.05
ROSTER_STATUS_INTERVAL_S = 2.0
# Earlier roster generations that are kept while they are not settled.
MAX_ROSTER_HISTORY = 32
# Members notify each other of new epochs; the poll serves those that such
# messages do not reach. The interval is multiplied by the number of members,
# which share the reads.
ROSTER_POLL_INTERVAL_S = 300.0
ROSTER_RETRY_S = 2.0
# Upper bound of a random delay before the roster is read again, because
# several messages name the same epoch within a short time.
ROSTER_READ_JITTER_S = 0.1
ROSTER_LEAVE_TIMEOUT_S = 2.0
# After an agent has left the roster, the others still read its votes.
ROSTER_LINGER_S = 0.5
# A request is long when its run time exceeds the median of short ones by this
# factor.
LONG_FACTOR = 5.0
RETRY_TOKENS_PER_REQUEST = 0.1
# Bounds the burst of retries when many agents fail at once.
RETRY_TOKENS_MAX = 10.0
MAX_REQUEST_ATTEMPTS = 3
BACKOFF_BASE_S = 0.01
BACKOFF_MAX_S = 1.0
BODY_CHUNK_BYTES = 64 * 1024
# Bodies are streamed; the balancer enforces the limit of the service.
UNLIMITED_BYTES = 1 << 62
MAX_REQUEST_BYTES = 256 * 1024 * 1024
MAX_FRAME_BYTES = 1024 * 1024

# Admission of requests.

QUEUE_LIMIT = 1000
# The queue sums up run times by deadline, in a ring of QUEUE_QUANTA quanta.
QUEUE_QUANTUM_S = 1 / 64
QUEUE_QUANTA = 4096
# A request with a body of this size or more counts as long.
LONG_CONTENT_BYTES = 1024 * 1024
HISTORY_RUNS = 64
HISTORY_ROUTES = 256
# With fewer runs of a route, its run time is estimated from those of all
# routes.
HISTORY_MIN_RUNS = 3
# Time constant of the decay of the run time charged to short and long work.
FAIR_SHARE_DECAY_S = 10.0
# Estimates are means, and a request that is likely to end late takes the slot
# of one that would end in time. These factors widen the estimates of the wait
# and the run time on arrival, and of the run time before the start.
WAIT_MARGIN_FACTOR = 1.5
RUN_MARGIN_FACTOR = 2.0
START_MARGIN_FACTOR = 1.5
# A request may move to a peer when it would wait this share of its run time.
MOVE_WAIT_SHARE = 0.5
PEER_LOAD_INTERVAL_S = 0.25
PEER_LOAD_MAX_AGE_S = 2.0
PEER_LOAD_FANOUT = 8

# Choice of an agent for a request.

# Exponential backoff of a balancer towards an agent that refused or failed.
AVOID_REFUSED_S = 0.05
AVOID_REFUSED_MAX_S = 0.5
AVOID_FAILED_S = 0.5
AVOID_FAILED_MAX_S = 10.0
# An agent that has not answered for this long does not count as slow.
LATENCY_MAX_AGE_S = 10.0
# Time constant of the decay of a wait seen at an agent, in median run times.
WAIT_DECAY_RUNS = 5.0
# An agent counts as slow when its latency exceeds the median by this factor.
SLOW_AGENT_FACTOR = 2.0

# Membership.

# A member without an event for this long was paused, so that the silence of
# others during that time is its own.
PAUSE_THRESHOLD_S = 1.0
HEARTBEAT_INTERVAL_S = 1.0
# Balancers to which a member sends its heartbeats, and the candidates from
# which it chooses them.
SPONSORS_PER_MEMBER = 3
SPONSOR_CANDIDATES = 6
# A sponsor that does not answer for this long is replaced, and not chosen
# again for SPONSOR_AVOID_S.
SPONSOR_SILENT_AFTER_S = 2.5
SPONSOR_AVOID_S = 30.0
# A silent member is probed before it becomes suspect: three lost heartbeats in
# a row are frequent at 42,000 heartbeats per second and 1% loss.
MEMBER_PROBE_AFTER_S = 1.8
MEMBER_PROBE_INTERVAL_S = 0.3
SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 10.0
# Longer than the longest expected partition (1 h), so that the other side
# cannot restore the record of a member that died meanwhile.
DEAD_RETENTION_S = 7200.0
# From the first of these times on, balancers of a silent data centre are
# pinged; from the second one on, the data centre is considered unreachable.
DATA_CENTRE_QUIET_AFTER_S = 1.0
DATA_CENTRE_SILENT_AFTER_S = 3.5
# With fewer balancers, a data centre is not judged as a whole.
DATA_CENTRE_MIN_BALANCERS = 3
ANTI_ENTROPY_INTERVAL_S = 1.0
MAX_PULL_BUCKETS = 8
# After a partition, the changes of the other side are requested once, from
# CATCH_UP_MARGIN_S before it began.
CATCH_UP_INTERVAL_S = 10.0
CATCH_UP_MARGIN_S = 30.0
MAX_CATCH_UP_RECORDS = 4000
GOSSIP_INTERVAL_S = 0.1
MEMBERSHIP_TICK_S = 0.05
# Groups of processes that do not know each other find each other through the
# seeds.
SEED_INTERVAL_S = 30.0
# A balancer that finds no other within this time starts to serve alone.
JOIN_ALONE_AFTER_S = 3.0
# An agent that was silent for this long is removed from the roster, or after
# DEAD_AFTER_S when the roster has no live majority.
ROSTER_REMOVE_AFTER_S = 60.0
# Rate limit of a process for control messages; the burst is one second of it.
CONTROL_BYTES_PER_S = 14 * 1024
RELAYS_PER_DATA_CENTRE = 3
# Size of a message body that leaves room for the envelope in a datagram.
MAX_GOSSIP_BODY_BYTES = 1200
# Envelope, digest, and IP and UDP headers around a message body.
MESSAGE_OVERHEAD_BYTES = 110

# Control messages.

MAX_DATAGRAM_BYTES = 1400
# Bytes of a datagram left for the body of one page; the rest is the envelope
# and the other fields, with agent ids of up to 128 characters.
MAX_PAGE_BYTES = 1000
# Messages whose send time differs by more from the local clock are rejected as
# replayed.
MAX_ENVELOPE_AGE_S = 30.0
ENVELOPE_DIGEST_BYTES = 16
PACKET_DIGEST_BYTES = 8
MIN_SECRET_KEY_BYTES = 16

# Rollout of configuration changes.

MAX_DRAINING = 1
ROLLOUT_PAUSE_S = 0.0

# Configuration in the store.

CONFIG_CHUNK_BYTES = 512 * 1024
# A process does not pull a larger configuration.
MAX_CONFIG_BYTES = 64 * 1024 * 1024
CONFIG_HISTORY_REVISIONS = 50
APPLY_ATTEMPTS = 8
# After a lost answer to a write, the outcome is queried for this long.
APPLY_RESOLVE_TIMEOUT_S = 20.0
APPLY_RETRY_S = 0.5

# Configuration exchanged between processes.

# Each process has CONFIG_WITNESSES balancers as witnesses. It puts a revision
# in force when CONFIG_CONFIRMATIONS of them hold it.
CONFIG_WITNESSES = 3
CONFIG_CONFIRMATIONS = 2
CONFIG_FANOUT = 4
CONFIG_TICK_S = 0.1
CONFIG_NOTICE_INTERVAL_S = 0.5
CONFIG_PULL_TIMEOUT_S = 2.0
# A peer that is starting may not listen yet; other peers are asked meanwhile.
CONFIG_PULL_RETRY_S = 0.5
# A restarted balancer waits this long for the processes it is a witness of.
CONFIG_CLIENT_WAIT_S = 5.0
# A starting process reads the store only after a random time from this range,
# so that a restart of many processes is served by peers.
CONFIG_STORE_WAIT_RANGE_S = (1.0, 4.0)

# Store client and relays.

STORE_CONNECT_TIMEOUT_S = 1.0
STORE_TIMEOUT_S = 3.0
# A watch is reopened after this time, which also detects dead connections.
STORE_WATCH_TIMEOUT_S = 60.0
STORE_RETRY_S = 1.0
STORE_RETRY_MAX_S = 30.0
RELAY_LEASE_S = 15
RELAY_KEEP_ALIVE_INTERVAL_S = 5.0
# Time for the view of the data centre to settle before a process tries to
# acquire a relay slot.
RELAY_SETTLE_S = 5.0

# Processes.

# Datagrams read from a socket in a row.
UDP_BATCH_DATAGRAMS = 64
# Twice the flows of one balancer at the design size, about 400 bytes each.
CACHED_HEADERS = 16_384
UDP_BUFFER_BYTES = 4 * 1024 * 1024
FLOW_TICK_S = 0.01
ADMIN_IP = "127.0.0.1"
STOP_TIMEOUT_S = 30.0
# A stopping balancer still forwards packets for this long after it reports
# that it is not ready. Network fabrics check readiness about once per second.
LAME_DUCK_S = 3.0

# Placement of new flows by load.

# Placing policy unless the settings name another one, and those that they may
# name; the others are baselines for comparisons.
PLACING_POLICY = "least"
PLACING_POLICIES = ("least", "fastest")

# A backend server that has just started takes up to 1.6 times as long per
# request.
WARMING_FACTOR = 1.6
# Waiting time that is equivalent to crossing to another data centre and back:
# at most 1.4 ms each way, and traffic between data centres is billed.
DATA_CENTRE_CROSSING_COST_S = 0.005
# Bounds of the preference for the own data centre, in requests per slot: large
# enough to decide among equals, and small enough that requests do not queue at
# its servers while others are idle.
NEAR_BONUS_MIN = 0.05
NEAR_BONUS_MAX = 0.7
# Agents that are asked for their loads at a time, the first ones in the
# placement order of a new flow. With 87,000 new flows a second at 1,800
# balancers, asking 5 agents takes 10 KB/s of a balancer's 14 KB/s for control.
PLACING_CANDIDATES = 5
# Those of them that are in the balancer's data centre. The others may have
# less work when the data centres are loaded unequally.
NEAR_CANDIDATES = 3
# Random part of the load in requests per slot, so that balancers with the same
# load reports choose different agents.
PLACING_JITTER = 0.1
# Largest ratio of the run times of two candidates that counts as equal. The
# averages of servers of one speed vary by 7%, so that of five candidates the
# largest is within 1.3 of the smallest in 97 of 100 cases, and servers with
# different shares of two kinds of requests differ by up to 1.3 (work of 19 and
# 25 ms). Speeds that differ by 1.6 and more are told apart.
SAME_SPEED_RATIO = 1.4
# Weight of a flow's own run time against its wait. With 1 fast servers are
# preferred so much at 0.95 of the capacity that the median was 52 ms instead
# of 44 ms; with 0.25 the p99 at half of the capacity was 3% longer.
OWN_RUN_SHARE = 0.5
# Half the unit of the run times in load reports.
RUN_TIME_ROUNDING_S = 0.0005

# Steering of segments.

# A load that an agent has told this recently is used again for further flows;
# shorter than the shortest usual request.
LOAD_REUSE_S = 0.02
# Longer than a round trip between data centres and an event loop iteration of
# a slow agent. A flow is placed without the agents that answer later.
POLL_TIMEOUT_S = 0.02
# How many times more agents are asked when no agent asked so far can take the
# flow in time.
MAX_POLL_ROUNDS = 3
# Balancers that monitor an agent. The failure of two of them goes unnoticed by
# the others, and the messages of an agent do not depend on the fleet's size.
MONITORS_PER_AGENT = 3
# Between two hellos of a balancer to an agent that it monitors.
HELLO_INTERVAL_S = 0.5
# An agent that stops notifies the balancers that contacted it this recently.
HELLO_MAX_AGE_S = 2.0
# An agent that heard no balancer for this long reads its entry in the store,
# and writes it again if it is missing. Two hellos may be lost. Balancers that
# start in an outage know an agent by its entry alone and wait for it for
# LAPSED_ENTRY_GRACE_S after the outage.
ENTRY_CHECK_AFTER_S = 1.0
# Between two such reads while no balancer is heard.
ENTRY_CHECK_INTERVAL_S = 1.0
# A balancer that heard no agent for this long cannot serve callers.
AGENTS_SILENT_AFTER_S = 1.2
# Flows placed this recently may be missing in an agent's answer, which the
# agent may have sent before it got them: the longest round trip between data
# centres and event loop iterations at both ends.
LOAD_REPORT_LAG_S = 0.03
# An agent that was heard this recently counts as alive although the store does
# not have its entry: two answers to hellos may be lost.
AGENT_HEARD_MAX_AGE_S = 1.2
# Agents outside of the monitored ones that a balancer asks when it has heard
# none for an interval of hellos; one of them answers unless its links failed.
EXTRA_HELLOS = 3
# After the last round of a search: longer than a round trip between data
# centres plus an event loop iteration of a slow agent; shorter than the time
# to the caller's first retransmission, 200 ms.
SEARCH_TIMEOUT_S = 0.15
# A flow is sought first at the agents that were asked for their loads to place
# it.
SEARCH_FIRST_AGENTS = PLACING_CANDIDATES
# Each further round queries so many times the agents of all rounds before, so
# that five rounds reach 400 agents.
SEARCH_GROWTH = 2
# Longer than a round trip between data centres and a server's answer; after
# this time the next agents are queried.
SEARCH_ROUND_TIMEOUT_S = 0.03
# A caller that gets no answer gives its flow up after 2 s.
SEARCH_WIDENING_MAX_S = 2.0
# Queries and their answers, two fifths of a link of 5 Mbit/s. The rest is for
# segments, acknowledgements and loads.
SEARCH_BYTES_PER_S = 250_000
SEARCH_BURST_S = 0.2
# IP and UDP headers and the first two bytes of a message.
MESSAGE_HEADER_BYTES = 30
# Searches that begin within this time share their messages.
SEARCH_BATCH_DELAY_S = 0.003
# An agent that has just started is queried again after SEARCH_RETRY_S, until
# SEARCH_MAX_S after the start of the search, when the caller's second copy
# arrives.
SEARCH_RETRY_S = 0.06
SEARCH_MAX_S = 0.6
# A caller has at most 16 segments in flight.
MAX_SEARCH_SEGMENTS = 16
# A process without an event for this long was paused. A caller sends the
# first copy of a first segment after 200 ms, so what waited for less has not
# been placed elsewhere.
PAUSE_MIN_S = 0.2
# Interval at which balancers and agents drop state of ended or idle flows.
SWEEP_INTERVAL_S = 1.0
# Caller and balancer measure the idle time from different segments.
FLOW_IDLE_MARGIN_S = 2.0
STEERING_TICK_S = 0.02
# Balancers that keep the record of a flow beside the one that placed it. With
# two, the loss of one of them loses no record.
RECORD_KEEPERS = 2
# Longer than a round trip in a data centre and an event loop iteration of a
# slow balancer. Until then a copy of a first segment is not placed, because
# another balancer may have placed its flow.
RECORD_QUERY_TIMEOUT_S = 0.02

# After the first complete answer of a balancer that was asked for agents which
# the store does not have: longer than a round trip between data centres and an
# event loop iteration of a slow balancer.
UNLISTED_TIMEOUT_S = 0.15
# Balancers that have not answered are asked again after this time.
UNLISTED_RETRY_S = 0.1

# Hosting of flows.

# A backend server answers the first segment of a flow within a millisecond;
# the rest allows for event loop iterations of a slow instance.
SERVER_ANSWER_TIMEOUT_S = 0.04
# A backend server gets no more flows after this many in a row that it did not
# answer.
MAX_SILENT_FLOWS = 3
# A backend server returns a segment of a flow that it does not hold within a
# millisecond; on its own flows it may answer only after the work is done.
TENTATIVE_ANSWER_TIMEOUT_S = 0.1
# Of the flows that are searched for in a row, one backend server holds fewer
# than this.
MAX_SILENT_TENTATIVE_FLOWS = 8
# The ends of a closed flow may still send copies of their last segments.
CLOSED_FLOW_RETENTION_S = 3.0
# Bytes that a server may have sent beyond what its caller acknowledged: 16
# segments of 1,200 bytes, times four.
MAX_UNACKNOWLEDGED_BYTES = 76_800
# No flow lives longer; see the limits of the deployments.
MAX_FLOW_LIFETIME_S = 60.0
HOSTED_FLOW_IDLE_S = 60.0
HOSTING_TICK_S = 0.02
# Interval of the reports of backend servers, unless the settings specify it.
REPORT_INTERVAL_S = 1.2
# Time after the end of a backend server from which on its address may belong
# to a server of another service, unless the settings specify it; the bound of
# the deployments.
ADDRESS_REUSE_S = 2.0
# Ticks after a pause, once the datagrams of the pause have been read, in which
# a report may have waited through it: its connection is accepted and read in
# later rounds of the event loop, of which each has one tick at most.
OUTDATED_REPORT_TICKS = 3
# Intervals after which a report is late.
REPORT_LATE_INTERVALS = 1.5
# Intervals after which two reports are certainly missing.
SERVER_SILENT_INTERVALS = 2.5
# An agent that has just started receives a report within this time, because
# the server repeats a report that failed after about 0.1 s.
AGENT_STARTING_S = 0.2

# Entries in the store: announcing and following them.

# A live process whose entry lapsed writes it again within this time.
LAPSED_ENTRY_GRACE_S = 2.0
ENTRY_LEASE_S = 6.0
ENTRY_RENEW_INTERVAL_S = 2.0
# In a new era of the store, processes spread their reads of all entries and
# the writes of their own ones over this time. It is well below the time in
# which entries are back.
ERA_SPREAD_S = 0.5
# After a failed call; doubled up to the maximum, with jitter.
ANNOUNCE_RETRY_S = 0.2
ANNOUNCE_RETRY_MAX_S = 1.0
# How long a watch waits for changes. Its answer confirms what is known.
FOLLOW_LONG_POLL_S = 2.0
# Between the starts of two calls, so that changes in quick succession are read
# together.
FOLLOW_PAUSE_S = 0.5
# A balancer that does not watch reads the store itself when nobody has
# confirmed its knowledge for this long. It is longer than FOLLOW_LONG_POLL_S,
# so that one watcher is enough, and short enough that a change of the routes
# is in force within 3 s of its acknowledgement when all watchers fail.
SHARED_WATCH_MAX_AGE_S = 2.5
# Balancers of a group that watch the store for it, so that one may fail.
WATCHERS_PER_GROUP = 2
# Balancers that share their watches. Two messages of 47 bytes with headers to
# each of them every FOLLOW_LONG_POLL_S take 3 KB/s of a watcher's 14 KB/s for
# control.
WATCH_GROUP_SIZE = 64

# Stopping.

# A balancer ends after STOP_QUIET_S without a segment, but not before
# STOP_MIN_S: the fabric sends two probes per second, and two must fail.
STOP_QUIET_S = 1.0
STOP_MIN_S = 1.5
# An agent declines new flows for this long before it ends; longer than
# LOAD_REUSE_S and the delay of a slow balancer.
STOP_NOTICE_S = 0.6
# The platform kills a process 6 s after it asked it to stop.
STOP_MAX_S = 4.5

# Logging.

# Further lines of the event in the same second are dropped and counted.
LOG_LINES_PER_EVENT_PER_S = 100
MAX_LOGGED_AGENT_IDS = 4
# Of one version of the configuration.
MAX_LOGGED_INVALID_FIELDS = 8
# Servers of other services whose reports an agent remembers to have logged.
MAX_OTHER_SERVERS = 16

# Evacuation of data centres.

# An evacuation that a full read of the store does not have lasts for this much
# longer. A store that comes back from an older copy is written to again
# within 2 s, and balancers learn of it SHARED_WATCH_MAX_AGE_S (2.5 s) and a
# call later at the latest.
EVACUATION_MISSING_GRACE_S = 5.0
# After a pause this long, what a balancer knows of evacuations may be older
# than bounds.evacuate_ms (5 s): it may have been 2.5 s and a call old before.
EVACUATION_RECHECK_PAUSE_S = 2.0
# It then places no new flow for this long, in which the store is read again.
# A call takes 4 ms, and more on a slow instance that has just resumed.
EVACUATION_RECHECK_S = 0.1
# Characters. No data centre has a longer name, since a key with one would not
# fit in a message between balancers.
MAX_DATA_CENTRE_NAME = 200
# Characters of an invalid name in a log line.
MAX_LOGGED_NAME = 40

# Settings file and directory of agents.

SETTINGS_POLL_INTERVAL_S = 2.0
# A call to the store takes 4 ms, and some hundred when the store is slow.
DIRECTORY_READ_TIMEOUT_S = 0.5
# Between two reads, because each call to the store is billed.
DIRECTORY_READ_PAUSE_S = 0.1
# An agent that is silent for this long will not return; restarts, pauses and
# outages of an instance last a few seconds.
SILENT_AGENT_REMOVE_AFTER_S = 15.0
SILENT_AGENT_CHECK_INTERVAL_S = 5.0

# Admission of new flows.

# Weight of a request's run time in the moving average.
RUN_TIME_WEIGHT = 0.1
# The same in the robust average: its standard deviation is then 7% of a run
# time with a coefficient of variation of 0.5, and at 20 requests a second it
# follows a change within 2 s.
ROBUST_RUN_TIME_WEIGHT = 0.03
# A longer run counts as this many times the average. Of requests of which 3%
# take 7 times as long, one moves the average by 9% instead of 18%.
RUN_TIME_CLIP = 4.0
# The average starts at the median of so many run times. Of 5, three must be
# long to make it wrong.
RUN_TIME_FIRST_SAMPLES = 5
# An estimate is unknown again when no request was answered for this long.
RUN_TIME_MAX_AGE_S = 10.0
# A change of the estimate by this factor is logged; the steps between two
# speeds of servers are at least 1.6.
RUN_TIME_LOG_RATIO = 1.3
# Requests in the queue of a server whose order is remembered; servers queue
# a few.
MAX_QUEUED_RUNS = 64
# Handshake and request take three one-way delays of 3 ms between caller and
# balancer, and those between data centres.
FLOW_NETWORK_TIME_S = 0.02
# A new flow may always wait this long, whatever the aim of its route.
MIN_QUEUE_WAIT_S = 0.03
# A caller sends two copies of a first segment, after 200 and 600 ms, and
# gives up after 1.4 s.
LAST_COPY_NUMBER = 2
OPENING_TIMEOUT_S = 1.5
# A new flow may wait for this share of what the network and the run time leave
# of its route's aim; run times vary.
AIM_WAIT_SHARE = 0.7
# Run time assumed while it is unknown, as a share of the aim: callers set
# their aims to a few times the usual run time.
UNKNOWN_RUN_SHARE = 0.25
# The same at an agent, which knows only the permitted wait: it is assumed to
# be this many run times.
UNKNOWN_WAIT_RUNS = 2
# Agents that may decline a new flow as busy before it is deferred; load
# reports are some tens of milliseconds old, and several balancers act on them.
MAX_BUSY_TRIES = 3
# Share of the permitted wait that a copy may use: the rest is for new flows.
COPY_WAIT_SHARE = 0.2

# Uploads through a balancer with a small link.

# Segments that one end may have in flight, with headers and one more for the
# acknowledgements: 16 of up to 1,200 B.
UPLOAD_WINDOW_BYTES = 20_000
# Time in which the link carries what all uploads have in flight: half of the
# 200 ms after which callers repeat a segment, as the rest of the traffic and
# the path back take their part.
UPLOAD_LINK_QUEUE_S = 0.1
# An upload without a segment for this long does not use the link: longer than
# one interval of retransmission.
UPLOAD_IDLE_S = 0.3
# A caller gives up its try 1.4 s after the first segment; the handshake with
# the server takes part of the rest.
MAX_UPLOAD_HOLD_S = 1.0
# Delays of a first segment and its copies from the start of a try.
COPY_DELAYS_S = (0.0, 0.2, 0.6)
# Share of the permitted wait that a flow may use when there is a higher
# priority; its square with two higher ones. With a half, and servers that
# queue only 3 or 4 requests, flows of the lower priority still filled these
# queues, and fewer writes were in time than without priorities.
LOWER_PRIORITY_WAIT_SHARE = 0.2
# Requests of lower priorities that may join a longer queue, for each flow of
# the highest one that joined a queue. It keeps callers of lower priorities
# from being shut out while the highest priority alone exceeds the capacity.
FLOOR_SHARE = 0.1
# Requests that the floor may admit at once after it was not needed for a
# while: two long flows.
FLOOR_BURST = 40.0
# Kinds of requests that come in long flows, and the requests that the opening
# of one brings. When each counted as one request, the floor took as many slots
# from writes as these had.
LONG_FLOW_KINDS = frozenset(("safe",))
LONG_FLOW_REQUESTS = 20

# HTTP of the processes that forward segments, as client and server.

MAX_HTTP_HEAD_BYTES = 16 * 1024
# The store holds values of up to a megabyte; an answer has a page of them in
# base64.
MAX_HTTP_BODY_BYTES = 16 * 1024 * 1024
HTTP_BACKLOG = 64
MAX_HTTP_CONNECTIONS = 128
HTTP_IDLE_TIMEOUT_S = 30.0
HTTP_CONNECT_TIMEOUT_S = 0.5

# Probes of the backend server's port, sent when the server does not answer.

# A live server answers a segment within a millisecond.
SERVER_PROBE_AFTER_S = 0.03
SERVER_PROBE_INTERVAL_S = 0.25
SERVER_PROBE_TIMEOUT_S = 0.2
# Longer than an event loop iteration of a slow instance, during which answers
# wait to be read.
SERVER_ABSENT_AFTER_S = 0.3
# Intervals after which two reports are missing. A health port may refuse
# connections while its server is alive, so a refusal proves nothing as long as
# reports arrive.
REPORT_MISSING_INTERVALS = 2.2

# Rotation of the balancers of a data centre.

# A rotation of some balancers must bear this many times what all of them
# bear. Less is not worth the redundancy: instances of the same kind differ by
# some percent, and by demand that varies by 15% everywhere.
ROTATION_MIN_GAIN = 1.25
# A balancer leaves the rotation after it has not been a member for this long:
# longer than the lease of an entry plus a restart, so that a member that comes
# back, or balancers that restart one after the other, change nothing twice.
ROTATION_HOLD_S = 10.0
# While a balancer starts, the entries of others that start with it arrive. It
# has few flows then, so it leaves after a shorter time: longer than a read of
# the store by the slowest balancer, which differs from the others meanwhile.
ROTATION_START_S = 5.0
ROTATION_START_HOLD_S = 1.0
# A balancer whose entry is gone counts for this long as one that the fabric
# still knows; a restart or repair of an instance takes minutes at most.
ROTATION_MEMORY_S = 600.0
# Smaller and larger capacities are mistakes, in Mbit/s and in cores.
MIN_CAPACITY = 0.001
MAX_LINK_MBPS = 1_000_000.0
MAX_CORES = 4096.0
# Pace of new flows at servers that have started or recovered.

# The rule holds for any span of 1 s at the server; what the agent sends may
# reach it up to an event loop iteration of a slow instance later.
COLD_SPAN_S = 1.05
# A server that claims to be cold for longer is not believed; deployments have
# 2 s.
MAX_COLD_S = 30.0
# Callers that may wait at a time for each slot of a server at the least: one
# runs, and two wait, because one that is turned away comes back after 200 ms
# only. With one that waits, slots were idle at loads of 0.9.
PACE_MIN_PER_SLOT = 3
# Wait at the lowest limit; half of the 200 ms after which a caller that was
# turned away comes back. Servers queue a few requests, so not more than
# PACE_MAX_FLOOR_PER_SLOT may wait however short they are.
PACE_FLOOR_WAIT_S = 0.1
PACE_MAX_FLOOR_PER_SLOT = 4
# With so many, the admission by expected wait is the stricter limit.
PACE_MAX_PER_SLOT = 8
# While expected requests of open flows use up the limit, a server with a free
# slot still gets a new flow at this interval.
PACE_FLOOR_INTERVAL_S = 0.1
# Increase of the limit per usual answer, as a share of the slots: one caller
# per slot more after 8 answers. Two such steps show in the average slowdown
# before a third one follows.
PACE_STEP = 0.125
# Factor on the limit when answers are slow, at most once per PACE_MIN_ANSWERS.
PACE_CUT = 0.7
PACE_MIN_ANSWERS = 16
# Weight of an answer in the average slowdown. Run times that vary by factors
# of 2 to 4 then give an average within 0.11 of the true one (one deviation).
PACE_SLOWDOWN_WEIGHT = 0.0625
# Average slowdown above which answers are slow: three deviations above the
# usual one, and two below the factor 1.6 of a cold server.
PACE_SLOW = 1.35
# A single answer counts as at most so many usual ones.
PACE_CLIP = 3.0
# A server rejects a request within a millisecond. An answer out of turn in
# less than this share of the usual run time is a rejection.
PACE_REJECTION_SHARE = 0.5
# The usual run time is the mean of the first answers, and then follows with
# this weight.
PACE_USUAL_ANSWERS = 16
PACE_USUAL_WEIGHT = 0.05
# Time in which the share of flows with waiting callers is averaged; flows with
# many requests ask every few hundred milliseconds.
PACE_SHARE_S = 1.0
# The limit of a warm server ends when it left room for this long.
PACE_UNBOUND_S = 1.0

# Servers that fail while their health check is good.

# The answer to a request is overdue after this many usual run times. Some
# requests take 7 times as long at healthy servers too; they are so few that
# they stay below FAILURE_SHARE_NOISE. A cold server takes 1.6 times as long.
OVERDUE_RUNS = 5
# But not before this time: longer than a round trip and some iterations of
# slow event loops, and a third of the shortest latency objective.
OVERDUE_MIN_S = 0.1
# The same while the usual run time is unknown: longer than any usual queue.
OVERDUE_UNKNOWN_S = 2.0
# The same for a request of several segments, of which another one may be
# missing: longer than the longest interval at which a caller sends a lost
# segment again, 1.6 s.
OVERDUE_PARTS_MIN_S = 2.0
# After a segment of this size the request is not taken for complete, as
# segments have up to 1,200 bytes.
FULL_SEGMENT_BYTES = 1000
# The usual run time is this quantile of the last runs. A server that is slow
# on 40% of its requests must not raise it.
USUAL_RUN_QUANTILE = 0.3
USUAL_RUN_SAMPLES = 32
USUAL_RUN_MIN_SAMPLES = 8
# An answer that takes less than this share of the usual run time is taken for
# the rejection of a server that is full; run times vary by factors of 2 to 4.
REJECTION_RUN_SHARE = 0.1
# A request counts half after this time: some tens of requests count at the
# usual rates, and a server that works again is used again within 20 s.
EVIDENCE_HALF_LIFE_S = 5.0
# An agent that did not check for overdue answers for this long, three times
# HOSTING_TICK_S, stalled itself. A slow instance stalls often, and for less
# than PAUSE_MIN_S.
EVIDENCE_STALL_S = 0.06
# Answered requests that are added to the judged ones, so that a failure or two
# of a server with few requests prove little.
EVIDENCE_PRIOR = 3.0
# Lower shares count as none. With 3% of slow requests, 8% occur by chance.
FAILURE_SHARE_NOISE = 0.1
# Shares from which an agent is excluded, and below which it is not any more.
# Five usual requests with two failures reach the first one.
EJECTION_SHARE = 0.2
EJECTION_END_SHARE = 0.12
# By how much the share must exceed that of the median of the compared agents.
EJECTION_MARGIN = 0.1
# Share of the flows that may go to an excluded agent although it is excluded,
# to learn whether it still fails.
EJECTION_TRIAL_SHARE = 0.02
# A server that starts again this soon after its last start is the same faulty
# one; a usual restart takes longer than this to be repeated.
RESTART_KEEPS_S = 5.0
