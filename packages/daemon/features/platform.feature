@configuration
Feature: The platform client keeps the newest head row

    @no-older-version @stale-read
    Scenario: A stale head row is counted and ignored
        # Guards against a daemon that goes back to an older head row, or takes its read for a confirmation.
        Given a platform client that has read head row 2
        When the platform serves the head row before it
        Then the platform client counts 1 stale read, keeps head row 2 and the time of its last good read

    # Guards against a process that ends, or a read that confirms nothing, because the head row has another form.
    @store-down
    Scenario Outline: A head row of another form counts as a lost answer
        Given a platform whose head row reads '<text>'
        When the head row is read
        Then the read is lost and confirms nothing

        Examples:
            | text            |
            | null            |
            | 7               |
            | []              |
            | {}              |
            | {"version":"2"} |

    # Guards against a process that ends because an answer without end fills its memory.
    @store-down
    Scenario: An answer of the platform without end is cut within its bound
        Given a platform whose answers have no end
        When the head row is read
        Then the read is lost and confirms nothing
        And the platform wrote at most 48 MB
