Feature: Deadlines, retries and fates of calls

    Scenario: A deadline decreases with each hop and never increases
        Then a call deadline is the shorter of the operation's and the caller's, less what was spent

    Scenario: Retries are limited to a tenth of the calls
        Then 1000 calls that all need retries get at most 110, and no call gets more than 2

    Scenario: A call is retried only after a failure that makes a retry safe
        Then each call failure leads to the specified next step

    Scenario: A call whose fate is requested before it arrives is barred
        Given a fate table
        Then a barred call cannot start, a started call is running, then finished, and cannot start again

    Scenario: A full fate table does not report a call as barred
        Given a fate table
        Then a full table neither starts nor bars a call, and expired entries are replaced

    Scenario: A refusal because two daemons are inconsistent is not reported as an error of the caller
        Then the relayed reason of unknown and inconsistent refusals is "noTarget" and others are kept

    Scenario: Each refusal has a status and a retry delay
        Then every refusal reason has a status of 4xx or 5xx and a positive retry delay
