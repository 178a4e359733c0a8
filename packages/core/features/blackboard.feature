Feature: A blackboard allows one writer for each section and delivers in order

    Scenario: A section rejects a second writer
        # Guards against two controllers that overwrite each other's state.
        Given a blackboard with a value section and a feed section
        When two controllers claim the value section
        Then the second claim throws

    Scenario: Observers run once after several writes and read the last content
        # Guards against observers that run for every write or that read outdated content.
        Given a blackboard with a value section and a feed section
        When the value section is written 3 times
        Then its observer ran once and read the last content

    Scenario: The oldest entries for a slow follower are dropped and counted
        # Guards against unbounded memory for a slow follower and against unnoticed loss of entries.
        Given a blackboard with a value section and a feed section
        When 6 entries are appended to the feed, whose capacity is 4
        Then the follower received the last 4 entries in order
        And 2 dropped entries are counted
