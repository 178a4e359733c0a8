Feature: The platform stand-in has the faults of the real platform

    # Guards against a stand-in that accepts both writes, which would hide races between operators.
    Scenario: Of two conditional writes with the same tag one takes effect
        Given a platform stand-in with the stored row "head"
        When two writers replace the stored row with the same entity tag
        Then the platform stand-in answers 200 to the first and 412 to the second
        And the platform stand-in holds the row of the first writer

    # Guards against a stand-in that accepts unconditional writes, which could overwrite another operator's change.
    Scenario: A write without a condition is refused
        Given a platform stand-in with the stored row "head"
        When a writer replaces the stored row without a condition
        Then the platform stand-in answers 428

    # Guards against wrong handling of tag lists, "*" and weak comparison (RFC 9110, section 13).
    Scenario Outline: A conditional request with <field> <tags> on a row with tag "1" gives <status>
        Given a platform stand-in with the stored row "head"
        When the stored row is requested by <method> with <field> set to <tags>
        Then the platform stand-in answers <status>

        Examples:
            | method | field         | tags       | status |
            | GET    | if-none-match | "7", "1"   | 304    |
            | GET    | if-none-match | W/"1"      | 304    |
            | GET    | if-none-match | "7"        | 200    |
            | PUT    | if-match      | "7", "1"   | 200    |
            | PUT    | if-match      | W/"1"      | 412    |
            | PUT    | if-match      | *          | 200    |
            | PUT    | if-none-match | *          | 412    |

    # Guards against a fault that loses the write when only the response should be lost, or applies it when both should be.
    Scenario Outline: A write whose answer is lost <when> its effect
        Given a platform stand-in with the stored row "head"
        When the platform stand-in loses the next answer <when> the effect of a write
        Then the writer receives no answer
        And the write <result> in the platform stand-in

        Examples:
            | when   | result           |
            | after  | took effect      |
            | before | took no effect   |

    # Guards against the stale-read fault also letting a conditional write succeed with the old tag.
    Scenario: A stale read shows an earlier row but a write compares with the present one
        Given a platform stand-in with the stored row "head"
        When the stored row is replaced and reads are 1 write late
        Then a read of the platform stand-in shows the earlier row
        And a write with the earlier entity tag is answered 412

    # Guards against a stand-in without rate limits, which would hide daemons that read too often.
    Scenario: Requests over the limit of a second are refused and counted
        Given a platform stand-in that allows 2 reads in a second
        When the platform stand-in receives 5 reads within one second
        Then 3 of the reads are answered 429
        And the platform stand-in counts 5 reads, 3 refused and a peak of 5 reads in a second

    # Guards against the silent fault closing the connection, which callers would detect immediately.
    Scenario: A silent platform accepts a request and never answers
        Given a platform stand-in with the stored row "head"
        When the platform stand-in is switched to silent over HTTP
        Then a read of the platform stand-in has no answer within 100 ms
        And the platform stand-in answers again after the silence is switched off
