Feature: The blackboard keeps one writer for each section

    Scenario: A second writer of a section is a broken invariant
        Given a blackboard with a value section and a feed section
        When two controllers claim the value section
        Then the second claim throws

    Scenario: Observers see the last content once after several writes
        Given a blackboard with a value section and a feed section
        When the value section is written 3 times
        Then its observer ran once and read the last content

    Scenario: A slow follower loses the oldest entries and the loss is counted
        Given a blackboard with a value section and a feed section
        When 6 entries are appended to the feed, which holds 4
        Then the follower received the last 4 entries in order
        And 2 dropped entries are counted
