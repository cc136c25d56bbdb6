"""Constants and default settings, each with its unit."""

# Placement.
BUCKETS = 4096

# Flow ownership.
HOP_LIMIT = 3
REDIRECT_COPIES = 2
REDIRECT_BATCH_S = 0.05
SETTLE_S = 2.0
PAUSE_S = 1.0
ASK_RETRY_S = 0.02
ASK_ATTEMPTS = 3
PENDING_PACKETS = 16
PREPARE_S = 1.0
FLOW_IDLE_S = 4 * 3600.0
TARGET_CONNECTIONS = 2000
SHARING_BOUND = 1.02
SLOW_START_S = 10.0
SLOW_START_WEIGHT = 0.1

# Requests.
TARGET_SLOTS = 2
REQUEST_TIMEOUT_S = 30.0
RETRY_WINDOW_S = 60.0
STORED_ANSWER_BYTES = 64 * 1024
STORED_ANSWERS_BYTES = 16 * 1024 * 1024
MAX_KEY_LENGTH = 128
LONG_FACTOR = 5.0
RETRY_TOKENS_PER_REQUEST = 0.1
BODY_CHUNK_BYTES = 64 * 1024
MAX_REQUEST_BYTES = 256 * 1024 * 1024
MAX_FRAME_BYTES = 1024 * 1024

# Membership.
HEARTBEAT_S = 1.0
SPONSORS = 3
SUSPECT_S = 3.0
DEAD_S = 10.0
DEAD_RETENTION_S = 600.0
ANTI_ENTROPY_S = 10.0
GOSSIP_S = 0.1
ROSTER_SILENCE_S = 60.0
CONTROL_BYTES_PER_S = 14 * 1024
RELAYS_PER_DATA_CENTRE = 3

# Control messages.
DATAGRAM_BYTES = 1400
ENVELOPE_AGE_S = 30.0
DIGEST_BYTES = 16
PACKET_DIGEST_BYTES = 8
MIN_KEY_BYTES = 16

# Queue and long work of a service.
QUEUE_LIMIT = 64
QUEUE_WAIT_S = 10.0
RETRY_BURST = 10
LONG_CONTENT_BYTES = 1024 * 1024

# Roll-out of changes.
MAX_DRAINING = 1
ROLLOUT_PAUSE_S = 0.0

# Configuration in the store.
CONFIG_CHUNK_BYTES = 512 * 1024
CONFIG_MAX_BYTES = 64 * 1024 * 1024
CONFIG_HISTORY = 50
APPLY_ATTEMPTS = 8
# A lost answer is resolved by asking again for this long.
APPLY_RESOLVE_S = 20.0
APPLY_RETRY_S = 0.5

# Configuration between processes.
# A revision is put in force when this many of the witnesses hold it.
CONFIG_WITNESSES = 3
CONFIG_CONFIRMATIONS = 2
CONFIG_FANOUT = 4
CONFIG_NOTICE_S = 0.5
CONFIG_PULL_TIMEOUT_S = 2.0
# A restarted balancer waits this long for the processes it is a witness of.
CONFIG_CLIENT_WAIT_S = 5.0
# A starting process asks the store only after this time, drawn from a range,
# so that a restart of many processes is served by peers.
CONFIG_STORE_WAIT_S = (1.0, 4.0)

# Store client and relays.
STORE_CONNECT_TIMEOUT_S = 1.0
STORE_TIMEOUT_S = 3.0
# A watch is opened again after this time, which also finds dead connections.
STORE_WATCH_S = 60.0
STORE_RETRY_S = 1.0
STORE_RETRY_MAX_S = 30.0
RELAY_LEASE_S = 15
RELAY_KEEP_ALIVE_S = 5.0
# Time for the view of the data centre to settle before a process competes.
RELAY_SETTLE_S = 5.0

# Processes.
UDP_BATCH = 64
UDP_BUFFER_BYTES = 4 * 1024 * 1024
TICK_S = 0.01
ADMIN_IP = "127.0.0.1"
STOP_S = 30.0
