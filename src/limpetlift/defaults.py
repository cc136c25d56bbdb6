"""Constants and default settings, each with its unit."""

# Placement.
PLACEMENT_BUCKETS = 4096

# Flow ownership.
HOP_LIMIT = 3
REDIRECT_COPIES = 2
REDIRECT_BATCH_DELAY_S = 0.05
OWNERSHIP_SETTLE_S = 2.0
# Shorter than OWNER_QUERY_RETRY_S * OWNER_QUERY_ATTEMPTS: after that time
# another agent may accept a flow without the answer of a paused agent, which
# must then ask.
FLOW_PAUSE_THRESHOLD_S = 0.05
OWNER_QUERY_RETRY_S = 0.02
OWNER_QUERY_ATTEMPTS = 3
# Longest wait for answers when more members are silent than may be.
OWNER_QUERY_MAX_WAIT_S = 1.0
# Members asked when in doubt. A service has 7 backend servers on average.
OWNER_QUERY_MEMBERS = 8
REDIRECT_RETRY_MAX_S = 1.0
# 48 entries of 24 bytes and the envelope fit in MAX_DATAGRAM_BYTES.
REDIRECTS_PER_BATCH = 48
# Lifetime of an entry that the owner has not confirmed.
REDIRECT_HINT_TTL_S = 2.0
RENEWED_BUCKETS_PER_TICK = 256
MAX_PENDING_PACKETS = 16
PREPARE_TIMEOUT_S = 1.0
PREPARE_RETRY_S = 0.05
# A prepared record that is not announced within this time is forgotten.
PREPARED_RECORD_TTL_S = 3.0
# Balancers forward thousands of packets a second; one that sent none for this
# long is taken for gone when another one is heard.
BALANCER_SILENT_AFTER_S = 2.0
BALANCER_RETENTION_S = 60.0
FLOW_IDLE_S = 4 * 3600.0
MAX_FLOWS_PER_SERVER = 2000
# With 1 flow of slack the noise of small counts made policy "bounded" pass
# on 6% of the flows and a join move 0.198 instead of 0.15 of them.
SHARING_BOUND_FACTOR = 1.02
SHARING_SLACK_FLOWS = 32
SLOW_START_S = 10.0
SLOW_START_INITIAL_WEIGHT = 0.1
SLOW_START_STEPS = 10
IDLE_WHEEL_SLOTS = 128

# Requests.
SLOTS_PER_SERVER = 2
REQUEST_TIMEOUT_S = 30.0
RETRY_WINDOW_S = 60.0
MAX_STORED_ANSWER_BYTES = 64 * 1024
MAX_STORED_ANSWERS_TOTAL_BYTES = 16 * 1024 * 1024
MAX_IDEMPOTENCY_KEY_CHARS = 128
# A record is held this much longer than the retry window, because the last
# permitted attempt spends time on its way, in the queue and in the claim.
CLAIM_RETENTION_MARGIN_S = 30.0
CLAIM_TIMEOUT_S = 2.0
# A request that has waited longer does not claim its key: the votes for an
# earlier attempt may be gone by then.
CLAIM_MAX_REQUEST_AGE_S = 20.0
CLAIM_RESEND_S = 0.02
CLAIM_RESEND_MAX_S = 0.32
MAX_CLAIM_RECORDS = 65536
IDEMPOTENCY_KEY_DIGEST_BYTES = 16
VOTE_PULL_INTERVAL_S = 0.05
ROSTER_STATUS_INTERVAL_S = 2.0
MAX_ROSTER_HISTORY = 32
# Members tell each other about new epochs; the poll is for those cut off.
ROSTER_POLL_INTERVAL_S = 300.0
ROSTER_RETRY_S = 2.0
ROSTER_READ_JITTER_S = 0.1
ROSTER_LEAVE_TIMEOUT_S = 2.0
ROSTER_LINGER_S = 0.5
LONG_FACTOR = 5.0
RETRY_TOKENS_PER_REQUEST = 0.1
# Saved tokens bound the burst of retries when many targets fail at once.
RETRY_TOKENS_MAX = 10.0
MAX_REQUEST_ATTEMPTS = 3
BACKOFF_BASE_S = 0.01
BACKOFF_MAX_S = 1.0
BODY_CHUNK_BYTES = 64 * 1024
# Bodies are streamed; the limit of a service is checked by the balancer.
UNLIMITED_BYTES = 1 << 62
MAX_REQUEST_BYTES = 256 * 1024 * 1024
MAX_FRAME_BYTES = 1024 * 1024

# Admission.
QUEUE_LIMIT = 1000
QUEUE_QUANTUM_S = 1 / 64
QUEUE_QUANTA = 4096
LONG_CONTENT_BYTES = 1024 * 1024
HISTORY_RUNS = 64
HISTORY_ROUTES = 256
HISTORY_MIN_RUNS = 3
FAIR_SHARE_DECAY_S = 10.0
# Estimates are means, and a request that is likely to end late takes the slot
# of one that would end in time. These factors widen the estimates of the wait
# and the run time on arrival, and of the run time before the start.
WAIT_MARGIN_FACTOR = 1.5
RUN_MARGIN_FACTOR = 2.0
START_MARGIN_FACTOR = 1.5
# A request moves to a peer when it would wait this share of its run time.
MOVE_WAIT_SHARE = 0.5
PEER_LOAD_INTERVAL_S = 0.25
PEER_LOAD_MAX_AGE_S = 2.0
PEER_LOAD_FANOUT = 8

# Choice of an agent.
AVOID_REFUSED_S = 0.05
AVOID_REFUSED_MAX_S = 0.5
AVOID_FAILED_S = 0.5
AVOID_FAILED_MAX_S = 10.0
LATENCY_MAX_AGE_S = 10.0
# How long a wait seen at an agent counts, in ordinary run times.
WAIT_DECAY_RUNS = 5.0
SLOW_AGENT_FACTOR = 2.0

# Membership.
PAUSE_THRESHOLD_S = 1.0
HEARTBEAT_INTERVAL_S = 1.0
SPONSORS_PER_MEMBER = 3
SPONSOR_CANDIDATES = 6
# A sponsor that does not answer is replaced after this silence.
SPONSOR_SILENT_AFTER_S = 2.5
SPONSOR_AVOID_S = 30.0
# Probes before a suspicion: three lost heartbeats in a row are frequent at
# 42,000 heartbeats a second and 1% loss.
MEMBER_PROBE_AFTER_S = 1.8
MEMBER_PROBE_INTERVAL_S = 0.3
SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 10.0
# Longer than the longest partition expected (1 h), so that the other side
# cannot bring back the record of a member that died meanwhile.
DEAD_RETENTION_S = 7200.0
DATA_CENTRE_QUIET_AFTER_S = 1.0
DATA_CENTRE_SILENT_AFTER_S = 3.5
# With fewer balancers, a data centre is not judged as a whole.
DATA_CENTRE_MIN_BALANCERS = 3
ANTI_ENTROPY_INTERVAL_S = 1.0
MAX_PULL_BUCKETS = 8
# After a partition, what the other side changed is asked for once, and from
# a little before it began.
CATCH_UP_INTERVAL_S = 10.0
CATCH_UP_MARGIN_S = 30.0
MAX_CATCH_UP_RECORDS = 4000
GOSSIP_INTERVAL_S = 0.1
MEMBERSHIP_TICK_S = 0.05
# Groups that do not know each other meet through the seeds.
SEED_INTERVAL_S = 30.0
# A balancer that finds no other within this time serves alone.
JOIN_ALONE_AFTER_S = 3.0
ROSTER_REMOVE_AFTER_S = 60.0
CONTROL_BYTES_PER_S = 14 * 1024
RELAYS_PER_DATA_CENTRE = 3
# Bytes of a message body that leave room for the envelope in a datagram.
MAX_GOSSIP_BODY_BYTES = 1200
# Envelope, digest, and IP and UDP headers around a message body.
MESSAGE_OVERHEAD_BYTES = 110

# Control messages.
MAX_DATAGRAM_BYTES = 1400
# Bytes of a datagram left for the body of one page; the rest is the envelope
# and the other fields, with agent ids of up to 128 characters.
MAX_PAGE_BYTES = 1000
MAX_ENVELOPE_AGE_S = 30.0
ENVELOPE_DIGEST_BYTES = 16
PACKET_DIGEST_BYTES = 8
MIN_SECRET_KEY_BYTES = 16

# Roll-out of changes.
MAX_DRAINING = 1
ROLLOUT_PAUSE_S = 0.0

# Configuration in the store.
CONFIG_CHUNK_BYTES = 512 * 1024
# A process refuses to pull a configuration larger than this.
MAX_CONFIG_BYTES = 64 * 1024 * 1024
CONFIG_HISTORY_REVISIONS = 50
APPLY_ATTEMPTS = 8
# A lost answer is resolved by asking again for this long.
APPLY_RESOLVE_TIMEOUT_S = 20.0
APPLY_RETRY_S = 0.5

# Configuration between processes.
# A revision is put in force when this many of the witnesses hold it.
CONFIG_WITNESSES = 3
CONFIG_CONFIRMATIONS = 2
CONFIG_FANOUT = 4
CONFIG_TICK_S = 0.1
CONFIG_NOTICE_INTERVAL_S = 0.5
CONFIG_PULL_TIMEOUT_S = 2.0
# A peer that starts may not listen yet; others are asked meanwhile.
CONFIG_PULL_RETRY_S = 0.5
# A restarted balancer waits this long for the processes it is a witness of.
CONFIG_CLIENT_WAIT_S = 5.0
# A starting process asks the store only after this time, drawn from a range,
# so that a restart of many processes is served by peers.
CONFIG_STORE_WAIT_RANGE_S = (1.0, 4.0)

# Store client and relays.
STORE_CONNECT_TIMEOUT_S = 1.0
STORE_TIMEOUT_S = 3.0
# A watch is opened again after this time, which also finds dead connections.
STORE_WATCH_TIMEOUT_S = 60.0
STORE_RETRY_S = 1.0
STORE_RETRY_MAX_S = 30.0
RELAY_LEASE_S = 15
RELAY_KEEP_ALIVE_INTERVAL_S = 5.0
# Time for the view of the data centre to settle before a process competes.
RELAY_SETTLE_S = 5.0

# Processes.
UDP_BATCH_DATAGRAMS = 64
# Twice the flows of one balancer at the design size, about 400 B each.
CACHED_HEADERS = 16_384
UDP_BUFFER_BYTES = 4 * 1024 * 1024
FLOW_TICK_S = 0.01
ADMIN_IP = "127.0.0.1"
STOP_TIMEOUT_S = 30.0
# Fabrics check readiness about once a second.
LAME_DUCK_S = 3.0

# Placing of new flows by load.
# A backend server that has just started takes up to 1.6 times as long.
WARMING_FACTOR = 1.6
# What crossing to another data centre and back may cost in waiting: at most
# 1.4 ms each way, and the bytes between data centres, which are paid for.
DATA_CENTRE_CROSSING_COST_S = 0.005
# Requests per slot that the own data centre is preferred by: enough to decide
# among equals, and not so much that its servers queue beside idle ones.
NEAR_BONUS_MIN = 0.05
NEAR_BONUS_MAX = 0.7
# Agents that a new flow chooses from, the first ones in its placement order.
# The least loaded of 8 is nearly that of all, and after a restart of all the
# flow is found again at one of 8 instead of at one of all.
PLACING_CANDIDATES = 8
# Requests per slot; spreads the choices of balancers with the same news.
PLACING_JITTER = 0.1

# Steering of segments.
# An agent reports its load at least every LOAD_REPORT_MAX_INTERVAL_S; two
# reports may be lost.
LOAD_REPORT_MAX_AGE_S = 0.6
LOAD_REPORT_MAX_INTERVAL_S = 0.2
# Reports after changes; shorter than the shortest usual request.
LOAD_REPORT_MIN_INTERVAL_S = 0.02
# Reports of changes to balancers of other data centres, which place few flows
# here; their number grows with the product of agents and balancers.
LOAD_REPORT_FAR_MIN_INTERVAL_S = 0.1
HELLO_INTERVAL_S = 0.5
# An agent forgets a balancer that has not said hello for this long.
HELLO_MAX_AGE_S = 2.0
# An agent without any balancer for this long announces itself again.
REANNOUNCE_AFTER_S = 5.0
# A balancer that hears no agent for this long is of no use to callers.
AGENTS_SILENT_AFTER_S = 1.2
# Twice the longest way between data centres, and a report's own delay.
LOAD_REPORT_LAG_S = 0.03
# Longer than a round trip between data centres and a slow agent's turn;
# shorter than the caller's first retransmission after 200 ms.
SEARCH_TIMEOUT_S = 0.15
# Searches that begin within this time share their messages.
SEARCH_BATCH_DELAY_S = 0.003
# An agent that has just started is asked again after this time, and not
# waited for longer than a caller's second copy takes.
SEARCH_RETRY_S = 0.06
SEARCH_MAX_S = 0.6
# Longer than a round trip between data centres and a server's answer; after
# it the servers are tried that are less likely to hold the flow.
SEARCH_LIKELY_TIMEOUT_S = 0.03
# A caller has at most 16 segments under way.
MAX_SEARCH_SEGMENTS = 16
SWEEP_INTERVAL_S = 1.0
# Clocks of caller and balancer start at different segments.
FLOW_IDLE_MARGIN_S = 2.0
STEERING_TICK_S = 0.02

# Hosting of flows.
# A backend server answers the first segment of a flow within a millisecond;
# the rest is for turns of a slow instance.
SERVER_ANSWER_TIMEOUT_S = 0.04
# Flows in a row that a backend server did not answer, until it gets no more.
MAX_SILENT_FLOWS = 3
# A backend server returns a segment of a flow that it does not hold within a
# millisecond; of its own flows it may answer some only after the work.
TENTATIVE_ANSWER_TIMEOUT_S = 0.1
# More flows than one backend server holds of those searched for in a row.
MAX_SILENT_TENTATIVE_FLOWS = 8
# Ends of a closed flow may still send copies of their last segments.
CLOSED_FLOW_RETENTION_S = 3.0
# Bytes that a server may have sent beyond what its caller acknowledged: 16
# segments of 1,200 bytes, taken four times.
MAX_UNACKNOWLEDGED_BYTES = 76_800
# No flow is older; see the deployments' bounds.
MAX_FLOW_LIFETIME_S = 60.0
HOSTED_FLOW_IDLE_S = 60.0
HOSTING_TICK_S = 0.02
# An agent without a tick for this long was paused; a slow instance's turns are
# shorter.
PAUSE_THRESHOLD_S = 0.5
# Backend servers report this often, unless the settings say otherwise.
REPORT_INTERVAL_S = 1.2
# Intervals after which two reports are missing for certain.
SERVER_SILENT_INTERVALS = 2.5
# Share of the interval in which a server that was acknowledged is silent.
REPORT_EARLY_SHARE = 0.75
# An agent that has just started hears its server in less than this, as the
# server repeats a report that failed after about 0.1 s.
AGENT_STARTING_S = 0.2

# Announcing and following in the store.
# An entry that lapsed is back within this time if its process lives.
LAPSED_ENTRY_GRACE_S = 2.0
ENTRY_LEASE_S = 6.0
ENTRY_RENEW_INTERVAL_S = 2.0
# After a failed call; doubled up to the maximum, with jitter.
ANNOUNCE_RETRY_S = 0.2
ANNOUNCE_RETRY_MAX_S = 1.0
# A connection that goes silent is noticed soon after this, which keeps a
# change of the routes in force within 3 s of its acknowledgement.
FOLLOW_LONG_POLL_S = 2.5
# Changes that come in quick succession are read together.
FOLLOW_PAUSE_S = 0.5

# Stopping.
# The fabric's probes come twice a second and two must fail.
STOP_QUIET_S = 1.0
STOP_MIN_S = 1.5
# The platform kills a process 6 s after it asked it to stop.
STOP_MAX_S = 4.5

# Logging.
# Lines of one event in a second; what is left out is counted.
LOG_LINES_PER_EVENT_PER_S = 100
# Agents named in one line.
MAX_LOGGED_AGENT_IDS = 4
SETTINGS_POLL_INTERVAL_S = 2.0
# A call of the store takes 4 ms, and some hundred when the store is slow.
DIRECTORY_READ_TIMEOUT_S = 0.5
# Between two reads; each is a call that is paid for.
DIRECTORY_READ_PAUSE_S = 0.1
# An agent that is silent for this long is gone for good; restarts, pauses and
# outages of an instance last a few seconds.
SILENT_AGENT_REMOVE_AFTER_S = 15.0
SILENT_AGENT_CHECK_INTERVAL_S = 5.0

# Admission of new flows.
# Weight of a request's run time in the mean.
RUN_TIME_WEIGHT = 0.1
# Handshake and request take three ways of 3 ms between caller and balancer,
# and those between data centres.
FLOW_NETWORK_TIME_S = 0.02
# A queue shorter than this is not refused, whatever the aim.
MIN_QUEUE_WAIT_S = 0.03
# A caller sends two copies of a first segment, after 200 and 600 ms, and
# gives up after 1.4 s.
LAST_COPY_NUMBER = 2
OPENING_TIMEOUT_S = 1.5
# Share of a route's time that a new flow may wait; run times vary.
AIM_WAIT_SHARE = 0.7
# Run time that is taken for granted while it is unknown, as a share of the
# aim: callers set their aims at a few times the usual run time.
UNKNOWN_RUN_SHARE = 0.25
# The same at an agent, which knows the wait only: that many runs fit into it.
UNKNOWN_WAIT_RUNS = 2
# Agents that a new flow is given to in a row when each is found busy; news of
# load is some tens of milliseconds old, and more balancers than one go by it.
MAX_BUSY_TRIES = 3
# Share of that queue that a copy may join: the rest is for new flows.
COPY_WAIT_SHARE = 0.2

# HTTP calls of and to processes that forward segments.
MAX_HTTP_HEAD_BYTES = 16 * 1024
# The store holds values of up to a megabyte, in base64 and a page of them.
MAX_HTTP_BODY_BYTES = 16 * 1024 * 1024
HTTP_BACKLOG = 64
MAX_HTTP_CONNECTIONS = 128
HTTP_IDLE_TIMEOUT_S = 30.0
HTTP_CONNECT_TIMEOUT_S = 0.5

# Probes of the own backend server's port, when it does not answer.
# A living server answers a segment within a millisecond.
SERVER_PROBE_AFTER_S = 0.03
SERVER_PROBE_INTERVAL_S = 0.25
SERVER_PROBE_TIMEOUT_S = 0.2
# Longer than a turn of a slow instance, in which answers wait to be read.
SERVER_ABSENT_AFTER_S = 0.3
# Intervals after which two reports are missing. A health port may refuse
# connections while its server lives, so a refusal proves nothing while the
# server is heard.
REPORT_MISSING_INTERVALS = 2.2
