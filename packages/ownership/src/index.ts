/** Authority over worker groups: voters, claims, takeover, handover and assignment. */
export {};
