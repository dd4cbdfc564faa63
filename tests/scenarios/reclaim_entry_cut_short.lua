-- promise: 1, 3, 4
-- The notice is 5 s, but the node is killed after 2.5 s. Streams and completions must still be answered, and
-- no quote may run twice or be reported as `not_run` if it ran.
require "reclaim_entry_vm"(5000, 2.5)
