@configuration
Feature: The platform client keeps the newest head row

    @no-older-version @stale-read
    Scenario: A stale head row is counted and ignored
        # Guards against a daemon that returns to an older head row, or treats a stale read as confirming the known one.
        Given a platform client that has read head row 2
        When the platform returns the previous head row
        Then the platform client counts 1 stale read, keeps head row 2 and the time of its last read that was not stale

    # Guards against a head row without a valid version that crashes the process or counts as a successful read.
    @store-down
    Scenario Outline: A head row without a valid version counts as a lost answer
        Given a platform whose head row reads '<text>'
        When the head row is read
        Then the read counts as lost and no head row or read time is recorded

        Examples:
            | text            |
            | null            |
            | 7               |
            | []              |
            | {}              |
            | {"version":"2"} |

    # Guards against an endless response of the platform that fills the memory of the process.
    @store-down
    Scenario: An endless response of the platform is aborted at its size limit
        Given a platform whose responses never end
        When the head row is read
        Then the read counts as lost and no head row or read time is recorded
        And the platform wrote at most 48 MB

    # Guards against a read whose limit does not hold while a connection is made, so that the next one comes seconds after
    # the end of the outage.
    @store-down
    Scenario: A read of a platform that accepts no connections ends at its timeout
        Given a platform behind a relay that drops new connections
        When the head row is read
        Then the read counts as lost and no head row or read time is recorded
