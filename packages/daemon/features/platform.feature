@configuration
Feature: The platform client keeps the newest head row

    @no-older-version @stale-read
    Scenario: A stale head row is counted and ignored
        # Guards against a daemon that goes back to an older head row, or takes its read for a confirmation.
        Given a platform client that has read head row 2
        When the platform serves the head row before it
        Then the platform client counts 1 stale read, keeps head row 2 and the time of its last good read
