Feature: A daemon that starts takes calls once it knows enough

    # Guards against a stale head row that is served because the rows with the addresses of other hosts come late: a host
    # that has not read them does not know that it is alone.
    @no-older-version @stale-read @herd-death
    Scenario Outline: A daemon that has <read> the rows of first addresses is <state> <ms> ms after its start
        Given a daemon that starts and reads a head row whose version it holds
        When it has <read> the rows of first addresses, which list nobody else, and <ms> ms pass
        Then the daemon is "<state>"

        Examples:
            | read     | ms   | state   |
            | not read | 1000 | joining |
            | not read | 4900 | joining |
            | not read | 5000 | ready   |
            | read     | 900  | joining |
            | read     | 1000 | ready   |
