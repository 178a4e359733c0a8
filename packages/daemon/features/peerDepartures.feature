Feature: A daemon tells a host that restarted which of its backend servers were leaving

    Background:
        Given a daemon that knows the departures of other hosts

    # Guards against a record that reaches this host late, over another link, and hides a departure of a newer one.
    @leaving-gets-no-work @herd-death @crossed-updates
    Scenario: An older record that is read later does not hide a departure
        When it reads record 2 of "h1" with the departures "s1, s2"
        And it reads record 1 of "h1" with the departures "s1"
        Then it tells "h1" of the departures "s1, s2"

    # Guards against a restarted host that publishes a departure before it has asked for those from before its restart.
    @leaving-gets-no-work @herd-death
    Scenario: The first record of a restarted host does not hide the departures from before the restart
        When it reads record 2 of "h1" with the departures "s1"
        And it reads record 0 of a later incarnation of "h1" with the departures "s9"
        Then it tells "h1" of the departures "s1, s9"

    # Guards against a departure that is forgotten 30 s after it was read, although it goes on: only changes are published.
    @leaving-gets-no-work @herd-death
    Scenario: A departure is known for as long as the latest record of its host holds it
        When it reads record 2 of "h1" with the departures "s1"
        And the clock advances by 40 s
        Then it tells "h1" of the departures "s1"

    Scenario: A departure that its host no longer publishes is forgotten after 30 s
        When it reads record 2 of "h1" with the departures "s1"
        And it reads record 3 of "h1" with the departures ""
        And the clock advances by 29 s
        Then it tells "h1" of the departures "s1"
        When the clock advances by 2 s
        Then it tells "h1" of the departures ""

    Scenario: A later departure of the same backend server replaces the earlier one
        When it reads record 2 of "h1" with the departures "s1"
        And it reads record 3 of "h1" with a later departure of "s1"
        And it reads record 2 of "h1" with the departures "s1"
        Then it tells "h1" of the later departure of "s1" only

    Scenario: The number of departures of a host is bounded
        When it reads 400 records of "h1" with a departure of one more backend server each
        Then it tells "h1" of 256 departures, the latest among them
